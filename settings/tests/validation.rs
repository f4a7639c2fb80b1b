//! Which settings are accepted, and what the errors for the others say.

use balancer_settings::{read, validate, zone};
use serde_json::{json, Value};

#[test]
fn values_out_of_range_are_refused_and_absent_keys_get_defaults() {
    let class =
        json!({"name": "a", "objective_us": 500_000, "deadline_us": 900_000, "idempotency": "odd"});
    let good = json!({"balancers": 2, "tick_us": 1_000, "classes": [class], "odd": {"more": [1]},
        "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let checked = |message: &Value| validate(&read(message)?.settings);
    assert!(checked(&good).is_ok(), "{good}");
    for (path, value) in [
        ("/classes", json!([])),
        ("/classes/0/objective_us", 0.into()),
        ("/classes/0/deadline_us", 0.into()),
        ("/classes/0/deadline_us", u64::MAX.into()),
        ("/classes/0/deadline_us", (-5).into()),
        ("/tick_us", u64::MAX.into()),
        ("/balancers", 0.into()),
        ("/balancers", (-1).into()),
        ("/invariants/cold_from", (-0.1).into()),
        ("/invariants/cold_from", 7.into()),
        ("/invariants/cold_us", u64::MAX.into()),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).expect("the settings have the key") = value;
        assert!(checked(&bad).is_err(), "{path} is accepted: {bad}");
    }
}

#[test]
fn the_balancers_zone_equals_that_of_endpoints_with_its_name() {
    let mut message = json!({"balancers": 2, "classes": [], "limits": {},
        "invariants": {"cold_from": 0.1, "cold_us": 1}});
    assert_eq!(
        read(&message).expect("well-formed settings").settings.zone,
        None
    );
    message["locality"] = "split-dc".into();
    assert_eq!(
        read(&message).expect("well-formed settings").settings.zone,
        Some(zone("split-dc"))
    );
}

#[test]
fn an_error_names_the_key_the_value_and_what_is_allowed() {
    let class = json!({"name": "a", "objective_us": 1, "deadline_us": 2, "worth": -1.5,
        "idempotency": "free"});
    let message =
        json!({"balancers": 2, "classes": [class], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let error = validate(&read(&message).expect("well-formed settings").settings)
        .expect_err("worth is negative");
    assert_eq!(
        error.to_string(),
        "classes[0].worth is -1.5; it must be a finite number of 0 or more"
    );
    let class = json!({"name": "a", "objective_us": 1, "deadline_us": 2, "idempotency": "free"});
    let message = json!({"balancers": 2, "classes": [class], "tenants": [{"name": "t"},
        {"name": "u", "portion": 2}], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let error = validate(&read(&message).expect("well-formed settings").settings)
        .expect_err("the second tenant's portion is above 1");
    assert_eq!(
        error.to_string(),
        "tenants[1].portion is 2; it must be from 0 to 1"
    );
    let message =
        json!({"balancers": 2, "classes": [], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let error = validate(&read(&message).expect("well-formed settings").settings)
        .expect_err("there is no class");
    assert_eq!(
        error.to_string(),
        "classes is empty; at least one class is required"
    );
    let message = json!({"balancers": 2, "classes": [], "invariants": {"cold_from": 0.1}});
    let error = read(&message).expect_err("cold_us is missing");
    assert_eq!(error.to_string(), "missing field `cold_us`");
    let message =
        json!({"balancers": 2, "classes": [], "invariants": {"cold_from": "x", "cold_us": 1}});
    let error = read(&message).expect_err("cold_from is a string");
    assert_eq!(
        error.to_string(),
        "cold_from: invalid type: string \"x\", expected f64"
    );
    let message =
        json!({"balancers": -2, "classes": [], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let error = read(&message).expect_err("balancers is negative");
    assert_eq!(
        error.to_string(),
        "balancers: invalid value: integer `-2`, expected u32"
    );
}
