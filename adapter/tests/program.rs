//! The adapter as a process, as the simulator runs it: replies to input lines, and error messages
//! and exit codes for malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CREATE: &str = r#"{"clock_us":5,"input":[{"verb":"CREATE","proxy":3,"seed":9,"facts":{"balancers":2,"unheard_of":1,
"classes":[{"name":"a","objective_us":500000,"deadline_us":900000,"worth":1.0,"idempotency":"free"}],"discovery":"ask",
"limits":{"cancel":true,"max_attempts":3},"invariants":{"cold_from":0.2,"cold_us":9000000,"tip_after_us":2000000}}}]}"#;
const LIST: &str = r#"{"clock_us":5,"input":[{"verb":"POOL","roster_id":0,"elements":[{"az":"z","weight":1,"cohort":0,"host":77,"state":1}]},{"verb":"MEMBERS","proxy":3,"scope":3,"version":1,"roster_id":0}]}"#;
const REQUEST: &str = r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x","tier_class":"a","time_budget_us":900000}]}"#;

fn run(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("stdin is piped");
    for line in lines {
        // An adapter that has exited because of an earlier line has closed the pipe. That is not a
        // failure here: the tests check its exit code and messages.
        if writeln!(input, "{}", line.replace('\n', " ")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

#[test]
fn a_request_is_forwarded_and_messages_after_its_response_are_ignored() {
    let attempt_ended = r#"{"clock_us":99,"input":[{"verb":"DONE","proxy":3,"call":"r-x","seq_no":0,"host":77,"result":"served","elapsed_us":90,"terminal":true,"stats":{"odd":1,"cpu":0.5}}]}"#;
    let cancelled_later =
        r#"{"clock_us":99,"input":[{"verb":"CANCELLED_BY_CLIENT","proxy":3,"call":"r-x"}]}"#;
    let output = run(&[
        r#"{"clock_us":1,"input":[]}"#,
        CREATE,
        LIST,
        REQUEST,
        attempt_ended,
        cancelled_later,
    ]);
    assert!(
        output.status.success(),
        "the adapter succeeds at end of input"
    );
    let replies: Vec<String> = String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_owned)
        .collect();
    assert_eq!(replies.len(), 6);
    assert_eq!(replies[0], r#"{"cmds":[]}"#);
    assert!(replies[1].contains(r#""verb":"LISTEN""#));
    assert!(
        replies[3].contains(r#""verb":"ROUTE","proxy":3,"call":"r-x","host":77"#),
        "{}",
        replies[3]
    );
    assert_eq!(replies[5], r#"{"cmds":[]}"#);
}

#[test]
fn a_malformed_line_ends_the_adapter_with_an_error_that_names_the_line_and_the_reason() {
    let cases = [
        (
            "not json",
            "line 1: the line is not a JSON batch of messages: ",
        ),
        (r#"{"clock_us":1}"#, "missing field `input`"),
        (
            r#"{"clock_us":1,"input":[{"verb":"ALARM"}]}"#,
            "ALARM: the required field proxy is missing",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"ALARM","proxy":8,"tag":1}]}"#,
            "message for unknown proxy 8: it was not created",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"DANCE","proxy":8}]}"#,
            "unknown verb DANCE; allowed are CREATE",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1,"facts":{}}]}"#,
            "CREATE: facts are not valid settings: missing field `balancers`",
        ),
        (
            r#"{"clock_us":1,"input":[{"verb":"CREATE","proxy":8,"seed":1}]}"#,
            "CREATE: the required field facts is missing",
        ),
    ];
    for (line, expected) in cases {
        let output = run(&[line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}: {message}");
        assert!(
            message.contains(expected) && message.contains("line 1"),
            "{line}: {message}"
        );
        assert!(!message.contains("panicked"), "{message}");
        assert!(output.stdout.is_empty());
    }
}

#[test]
fn errors_name_the_wire_field_and_for_an_invalid_value_also_the_value_and_what_is_allowed() {
    let cases = [
        (
            r#"{"clock_us":9,"input":[{"verb":"JOB_IN","proxy":3,"call":"r-x"}]}"#,
            "JOB_IN: the required field tier_class is missing",
        ),
        (
            r#"{"clock_us":9,"input":[{"verb":"MEMBERS","proxy":3,"scope":4}]}"#,
            "MEMBERS: scope is 4; allowed are 0 (failed poll), 1 (cached list), \
             2 (changed entries) and 3 (full list)",
        ),
        (
            r#"{"clock_us":9,"input":[{"verb":"MEMBERS","proxy":3,"scope":3,"roster_id":6}]}"#,
            "MEMBERS: unknown roster_id 6; a POOL message must define it first",
        ),
        (
            r#"{"clock_us":9,"input":[{"verb":"POOL","roster_id":6,"elements":[{"host":77,"state":3}]},{"verb":"MEMBERS","proxy":3,"scope":3,"roster_id":6}]}"#,
            "POOL: state of host 77 is 3; allowed are 0 (draining), 1 (ready) and 2 (removed)",
        ),
    ];
    for (line, expected) in cases {
        let output = run(&[CREATE, line]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(message, format!("simulator-adapter: line 2: {expected}\n"));
    }
}

#[test]
fn an_unknown_verb_is_an_error_but_a_message_about_an_unknown_request_is_ignored() {
    let unknown_verb = r#"{"clock_us":9,"input":[{"verb":"DANCE","proxy":3}]}"#;
    let output = run(&[CREATE, unknown_verb]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 2: unknown verb DANCE"));
    let unknown_request = r#"{"clock_us":9,"input":[{"verb":"DONE","proxy":3,"call":"r-y"}]}"#;
    let output = run(&[CREATE, unknown_request]);
    assert!(output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stdout).lines().last(),
        Some(r#"{"cmds":[]}"#)
    );
}
