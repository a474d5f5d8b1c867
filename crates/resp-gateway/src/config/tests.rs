//! Tests of the configuration: the names of its settings and the texts of its errors.

use super::*;

fn config_text(settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":"127.0.0.1:3","seed":"ff",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
            "known":{{"index":4,"snapshot":true,"endpoints":[{{"name":"s-1","address":"127.0.0.1:9","zone":"south hall",
            "group":2,"status":"ready","weight":2.0,"since_ms":0}}]}},"settings":{settings}}}"#
    )
}
const SETTINGS: &str = r#"{"balancers":3,"my_number":1,"tick":2000,"zone":"north hall","zones":["north hall","south hall"],
        "bounds":{"max_attempts":6,"dial_timeout":250000,"conn_idle":30000000,"second_copies":true},
        "classes":[{"name":"view","deadline":3000000,"effect":"pure","credit":2.0}],
        "plans":[{"name":"mbegu","per_second":3.5,"peak_units":12.0}],"rules":{"cold":18000000}}"#;

#[test]
fn settings_under_the_names_of_the_simulator_wire_format_then_parsed() {
    let config =
        Config::parse(Path::new("c.json"), config_text(SETTINGS).as_bytes()).expect("it is valid");
    let settings = config.settings();
    assert_eq!(
        (
            settings.gateways,
            settings.gateway_index,
            settings.max_attempts,
            settings.allow_hedging
        ),
        (3, 1, 6, true)
    );
    assert_eq!(
        (
            settings.plans[0].rate,
            settings.classes[0].priority_weight,
            settings.slow_start_duration.as_micros()
        ),
        (3.5, 2.0, 18_000_000)
    );
    assert_eq!(
        (
            config.seed,
            config.limits.sockets,
            config.endpoint_idle_timeout
        ),
        (255, 256, Some(TimeDelta::from_micros(30_000_000)))
    );
    let initial = config
        .initial_endpoints
        .as_ref()
        .expect("the list is valid");
    let zone = config.named_settings.zone_numbers["south_hall"];
    assert_eq!(
        (initial.version, initial.endpoints[0].entry.zone.0),
        (4, zone)
    );
    assert_eq!(
        settings.zone.0,
        config.named_settings.zone_numbers["north_hall"]
    );
}

#[test]
fn invalid_configuration_then_error_names_the_field_and_what_was_expected() {
    let load = |text: &str| Config::parse(Path::new("c.json"), text.as_bytes()).map(|_| ());
    for (text, expected) in [
        ("{", "expected a configuration"),
        (
            &config_text("{\"balancers\":\"x\"}"),
            "settings: balancers: expected a whole number, found 'x'",
        ),
        (
            &config_text("{\"balancers\":0}"),
            "settings: gateways: expected at least one",
        ),
        (
            &config_text(SETTINGS).replace("127.0.0.1:2", "nowhere"),
            "discovery: expected ip:port, found 'nowhere'",
        ),
        (
            &config_text(SETTINGS).replace("\"ff\"", "\"zz\""),
            "seed: expected hex digits",
        ),
    ] {
        let error = load(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{error}");
    }
    let missing = Config::load(Path::new("nowhere/c.json")).expect_err("there is no file");
    assert!(
        missing.to_string().starts_with("nowhere/c.json: "),
        "{missing}"
    );
}
