//! Values of generated deployments, and the errors for bases that are not site files.

use site_generator::generate;
use toml::{Table, Value};

const BASES: [&str; 2] = [
    include_str!("../../harbour-permits/site.toml"),
    include_str!("../../lantern-bids/site.toml"),
];

fn bases() -> Vec<String> {
    BASES.map(str::to_owned).to_vec()
}

fn number(table: &Table, name: &str) -> f64 {
    let value = table.get(name).expect(name);
    value
        .as_float()
        .or_else(|| value.as_integer().map(|number| number as f64))
        .expect(name)
}

#[test]
fn the_same_seed_gives_the_same_deployment_and_another_seed_a_different_one() {
    assert_eq!(
        generate(&bases(), 7).expect("the bases are site files"),
        generate(&bases(), 7).expect("the bases are site files")
    );
    assert_ne!(
        generate(&bases(), 7).expect("the bases are site files"),
        generate(&bases(), 8).expect("the bases are site files")
    );
}

#[test]
fn generated_values_stay_within_their_bounds_and_all_kinds_of_idempotency_occur() {
    let mut idempotency_kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let generated = generate(&bases(), seed).expect("the bases are site files");
        let site: Table = generated.text.parse().expect("a site file");
        let classes = site["class"].as_array().expect("classes");
        for class in classes.iter().filter_map(Value::as_table) {
            let (objective, deadline) = (number(class, "aim_ms"), number(class, "deadline_ms"));
            assert!(
                (400.0..=12_000.0).contains(&deadline)
                    && (0.29..0.96).contains(&(objective / deadline)),
                "seed {seed}: objective {objective} ms, deadline {deadline} ms"
            );
            idempotency_kinds.insert(class["effect"].as_str().expect("an effect").to_owned());
        }
        assert!((1.0..=4.0).contains(&number(
            site["allow"].as_table().expect("allowances"),
            "max_attempts"
        )));
        assert!((200.0..=3_000.0).contains(&number(
            site["rules"].as_table().expect("rules"),
            "drain_grace_ms"
        )));
        let tenants = site
            .get("tenant")
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        let quota_sum: f64 = tenants
            .filter_map(Value::as_table)
            .map(|tenant| number(tenant, "share"))
            .sum();
        assert!(
            quota_sum == 0.0 || (quota_sum - 1.0).abs() < 0.01,
            "seed {seed}: the quotas add up to {quota_sum}"
        );
    }
    assert_eq!(
        idempotency_kinds.into_iter().collect::<Vec<_>>(),
        ["keyed", "safe", "unsafe"]
    );
}

#[test]
fn errors_say_which_base_is_not_a_site_file_and_why() {
    let message = |bases: &[String]| generate(bases, 1).expect_err("no site file").to_string();
    assert_eq!(
        message(&[]),
        "no base site file was given; at least one is required"
    );
    let syntax = message(&["[net".to_owned()]);
    assert!(
        syntax.starts_with("base 1 is not a site file: it is not valid TOML: "),
        "{syntax}"
    );
    assert_eq!(
        message(&["[net]".to_owned()]),
        "base 1 is not a site file: 'clients' is missing or has the wrong type"
    );
}
