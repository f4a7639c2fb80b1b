//! The wire format: verbs, fields and results by name, and replies byte for byte. The simulator
//! defines these names, so they stay as they are when identifiers in the program are renamed.

use std::io::Write;
use std::process::{Command, Stdio};

/// Placeholder for the text of a log line, which the wire format does not fix.
const LOG_TEXT: &str = "…";

/// Input lines and the expected replies.
const EXCHANGE: [(&str, &str); 12] = [
    (
        r#"{"clock_us":5,"input":[{"verb":"CREATE","proxy":3,"seed":9,"facts":{"balancers":2,"me":1,"locality":"z","classes":[{"name":"free","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"free"},{"name":"once","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"single_shot"}],"tenants":[{"name":"t","portion":0.5}],"discovery":"ask","limits":{"cancel":true,"max_attempts":3,"second_copies":true,"max_retry_after_us":700000},"invariants":{"cold_from":0.2,"cold_us":9000000,"ask_every_us":6000000}}}]}"#,
        r#"{"cmds":[{"verb":"LISTEN","proxy":3,"enable":true}]}"#,
    ),
    (
        r#"{"clock_us":6,"input":[{"verb":"JOB_IN","proxy":3,"call":"early","tier_class":"free","user_group":"t","time_budget_us":900000}]}"#,
        r#"{"cmds":[{"verb":"SET_ALARM","proxy":3,"offset_us":15625,"tag":0}]}"#,
    ),
    (
        r#"{"clock_us":400006,"input":[{"verb":"ALARM","proxy":3,"tag":0}]}"#,
        r#"{"cmds":[{"verb":"BOUNCE","proxy":3,"call":"early","hold_off_us":400000}]}"#,
    ),
    (
        r#"{"clock_us":500000,"input":[{"verb":"POOL","roster_id":0,"elements":[{"az":"z","weight":1,"cohort":0,"host":77,"state":1,"last_start_us":0}]},{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}]}"#,
        r#"{"cmds":[]}"#,
    ),
    (
        r#"{"clock_us":500001,"input":[{"verb":"JOB_IN","proxy":3,"call":"a","tier_class":"free","time_budget_us":900000,"resent":true}]}"#,
        r#"{"cmds":[{"verb":"ROUTE","proxy":3,"call":"a","host":77},{"verb":"SET_ALARM","proxy":3,"offset_us":250000,"tag":0}]}"#,
    ),
    (
        r#"{"clock_us":500002,"input":[{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"a"}]}"#,
        r#"{"cmds":[{"verb":"DROP_ATTEMPT","proxy":3,"call":"a","seq_no":0}]}"#,
    ),
    (
        r#"{"clock_us":500003,"input":[{"verb":"DONE","proxy":3,"call":"a","seq_no":0,"host":77,"result":"called_off","elapsed_us":2,"terminal":true,"stats":{}}]}"#,
        r#"{"cmds":[]}"#,
    ),
    (
        r#"{"clock_us":500004,"input":[{"verb":"JOB_IN","proxy":3,"call":"b","tier_class":"once","time_budget_us":900000}]}"#,
        r#"{"cmds":[{"verb":"ROUTE","proxy":3,"call":"b","host":77}]}"#,
    ),
    (
        r#"{"clock_us":600004,"input":[{"verb":"DONE","proxy":3,"call":"b","seq_no":0,"host":77,"result":"connection_lost","elapsed_us":100000,"terminal":false,"stats":{"active":1,"waiting":0,"cpu":0.1}}]}"#,
        r#"{"cmds":[{"verb":"TRACE","proxy":3,"note_text":"…"},{"verb":"DROP_REQUEST","proxy":3,"call":"b"}]}"#,
    ),
    (
        r#"{"clock_us":600005,"input":[{"verb":"PROBED","proxy":3,"host":77,"result":"served","stats":{}},{"verb":"WHISPER","proxy":3}]}"#,
        r#"{"cmds":[]}"#,
    ),
    (
        r#"{"clock_us":600006,"input":[{"verb":"MEMBERS","proxy":3,"scope":0}]}"#,
        r#"{"cmds":[]}"#,
    ),
    (
        r#"{"clock_us":600007,"input":[{"verb":"JOB_IN","proxy":3,"call":"c","tier_class":"free","time_budget_us":900000},{"verb":"UNDER_WAY","proxy":3,"call":"c","seq_no":0},{"verb":"DETACH","proxy":3}]}"#,
        r#"{"cmds":[{"verb":"BOUNCE","proxy":3,"call":"c","hold_off_us":125000}]}"#,
    ),
];

#[test]
fn replies_match_the_wire_format_byte_for_byte() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("stdin is piped");
    for (batch, _) in EXCHANGE {
        writeln!(input, "{batch}").expect("the adapter reads its input");
    }
    drop(input);
    let output = child.wait_with_output().expect("the adapter exits");
    let replies = String::from_utf8(output.stdout).expect("replies are UTF-8");
    for ((batch, expected), reply) in EXCHANGE.iter().zip(replies.lines()) {
        let (before, after) = expected.split_once(LOG_TEXT).unwrap_or((expected, ""));
        assert!(
            reply.starts_with(before) && reply.ends_with(after),
            "input {batch}\nexpected {expected}\nreceived {reply}"
        );
        assert!(
            expected.contains(LOG_TEXT) || reply == *expected,
            "input {batch}\nexpected {expected}\nreceived {reply}"
        );
    }
    assert_eq!(
        replies.lines().count(),
        EXCHANGE.len(),
        "one reply per input line: {replies}"
    );
}
