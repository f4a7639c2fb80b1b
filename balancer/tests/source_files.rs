//! Limits on the length of this crate's source files and of their lines, and a check that the
//! deploy file lists all of these files.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines in a file, blank ones not counted.
const MAX_LINES: usize = 330;
/// Maximum number of characters in a line.
const MAX_COLUMNS: usize = 100;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Paths of this crate's source files, relative to the repository.
fn source_files() -> BTreeSet<String> {
    let entries = fs::read_dir(repository().join("balancer/src"))
        .expect("the source folder should be readable");
    let names = entries.map(|entry| {
        entry
            .expect("a folder entry should be readable")
            .file_name()
    });
    names
        .map(|name| {
            format!(
                "balancer/src/{}",
                name.to_str().expect("a file name should be UTF-8")
            )
        })
        .collect()
}

#[test]
fn no_source_file_and_no_line_is_too_long() {
    let names = source_files();
    assert!(names.len() > 6, "too few source files: {names:?}");
    for name in names {
        let text =
            fs::read_to_string(repository().join(&name)).expect("a source file should be readable");
        let line_count = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            line_count <= MAX_LINES,
            "{name}: {line_count} lines that are not blank, more than {MAX_LINES}"
        );
        let long_lines: Vec<&str> = text
            .lines()
            .filter(|line| line.chars().count() > MAX_COLUMNS)
            .collect();
        assert!(
            long_lines.is_empty(),
            "{name}: lines of more than {MAX_COLUMNS} characters: {long_lines:#?}"
        );
    }
}

#[test]
fn the_deploy_file_lists_every_source_file() {
    let text = fs::read_to_string(repository().join("deploy/balancer.toml"))
        .expect("the deploy file should be readable");
    let keys: Vec<&str> = text
        .lines()
        .filter_map(|line| Some(line.split_once(" = ")?.0))
        .collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
    let policy = text
        .lines()
        .find_map(|line| line.strip_prefix("policy = "))
        .expect("the deploy file should have a policy");
    let named: BTreeSet<String> = policy
        .split('"')
        .filter(|part| part.contains('/'))
        .map(str::to_owned)
        .collect();
    assert_eq!(named, source_files());
}
