//! Which settings are accepted, and what the errors for the others say.

use balancer_settings::{read, validate, zone_id};
use serde_json::{json, Value};

#[test]
fn out_of_range_values_are_rejected_and_absent_or_unknown_keys_are_accepted() {
    let class =
        json!({"name": "a", "objective_us": 500_000, "deadline_us": 900_000, "idempotency": "odd"});
    let valid = json!({"balancers": 2, "tick_us": 1_000, "classes": [class], "odd": {"more": [1]},
        "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let read_and_validate = |message: &Value| validate(&read(message)?.settings);
    assert!(read_and_validate(&valid).is_ok(), "{valid}");
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
        let mut invalid = valid.clone();
        *invalid
            .pointer_mut(path)
            .expect("the settings have the key") = value;
        assert!(
            read_and_validate(&invalid).is_err(),
            "{path} is accepted: {invalid}"
        );
    }
}

#[test]
fn the_locality_key_gives_the_same_zone_id_as_the_zone_name_of_an_endpoint() {
    let mut message = json!({"balancers": 2, "classes": [], "limits": {},
        "invariants": {"cold_from": 0.1, "cold_us": 1}});
    assert_eq!(
        read(&message).expect("well-formed settings").settings.zone,
        None
    );
    message["locality"] = "split-dc".into();
    assert_eq!(
        read(&message).expect("well-formed settings").settings.zone,
        Some(zone_id("split-dc"))
    );
}

#[test]
fn errors_name_the_key_and_for_an_invalid_value_also_the_value_and_what_is_allowed() {
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
    assert_eq!(error.to_string(), "invariants: missing field `cold_us`");
    let error = read(&json!({})).expect_err("all keys are missing");
    assert_eq!(error.to_string(), "missing field `balancers`");
    let class = json!({"name": "a", "objective_us": 1, "deadline_us": 2, "idempotency": "free"});
    let mut message = json!({"aside": [[], {}, [7], "}", "a\": {"], "balancers": 2,
        "classes": [class, class], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    message["classes"][1]["worth"] = json!({"odd": [1, 2]});
    let error = read(&message).expect_err("worth is an object");
    assert_eq!(
        error.to_string(),
        "classes[1].worth: invalid type: map, expected f64"
    );
    message["classes"][1] = json!({"name": "a", "objective_us": 1, "deadline_us": 2});
    let error = read(&message).expect_err("idempotency is missing");
    assert_eq!(error.to_string(), "classes[1]: missing field `idempotency`");
    let message =
        json!({"balancers": 2, "classes": [], "invariants": {"cold_from": "x", "cold_us": 1}});
    let error = read(&message).expect_err("cold_from is a string");
    assert_eq!(
        error.to_string(),
        "invariants.cold_from: invalid type: string \"x\", expected f64"
    );
    let message =
        json!({"balancers": -2, "classes": [], "invariants": {"cold_from": 0.1, "cold_us": 1}});
    let error = read(&message).expect_err("balancers is negative");
    assert_eq!(
        error.to_string(),
        "balancers: invalid value: integer `-2`, expected u32"
    );
}
