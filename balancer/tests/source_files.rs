//! Bounds on the source of the decisions: no file and no line grows without end, and the deploy
//! file names them all.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Most lines of a file that are not blank.
const MAX_LINES: usize = 330;
/// Most characters of a line.
const MAX_COLUMNS: usize = 100;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Names of the files that make decisions, relative to the repository.
fn decision_files() -> BTreeSet<String> {
    let entries =
        fs::read_dir(repository().join("balancer/src")).expect("the folder of the decisions");
    let names = entries.map(|entry| entry.expect("an entry").file_name());
    names
        .map(|name| format!("balancer/src/{}", name.to_str().expect("a name in UTF-8")))
        .collect()
}

#[test]
fn every_decision_file_is_short_and_its_lines_too() {
    let names = decision_files();
    assert!(names.len() > 6, "{names:?}");
    for name in names {
        let text = fs::read_to_string(repository().join(&name)).expect("a source file");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_LINES,
            "{name}: {lines} lines that are not blank"
        );
        let wide: Vec<&str> = text
            .lines()
            .filter(|line| line.chars().count() > MAX_COLUMNS)
            .collect();
        assert!(wide.is_empty(), "{name}: {wide:#?}");
    }
}

#[test]
fn the_deploy_file_names_every_decision_file() {
    let text =
        fs::read_to_string(repository().join("deploy/balancer.toml")).expect("the deploy file");
    let keys: Vec<&str> = text
        .lines()
        .filter_map(|line| Some(line.split_once(" = ")?.0))
        .collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
    let policy = text
        .lines()
        .find_map(|line| line.strip_prefix("policy = "))
        .expect("a policy");
    let named: BTreeSet<String> = policy
        .split('"')
        .filter(|part| part.contains('/'))
        .map(str::to_owned)
        .collect();
    assert_eq!(named, decision_files());
}
