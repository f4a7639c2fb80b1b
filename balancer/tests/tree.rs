//! Limits for the source itself: each module has one job, and no file of decisions grows without end.

use std::path::Path;

const DECISIONS: [&str; 6] = [
    "balancer/src/balance.rs",
    "balancer/src/asking.rs",
    "balancer/src/budget.rs",
    "balancer/src/pace.rs",
    "balancer/src/server.rs",
    "balancer/src/start_times.rs",
];

#[test]
fn each_file_of_decisions_is_short_and_its_lines_too() {
    for name in DECISIONS {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name);
        let text = std::fs::read_to_string(path).expect("the module's source");
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= 850, "{name}: {lines} lines that are not blank");
        let wide: Vec<&str> = text.lines().filter(|l| l.chars().count() > 110).collect();
        assert!(wide.is_empty(), "{name}: {wide:#?}");
        let named =
            name != DECISIONS[0] || text.lines().next().is_some_and(|l| l.contains("balancer/src/api.rs"));
        assert!(named, "the top names the interface");
    }
}
