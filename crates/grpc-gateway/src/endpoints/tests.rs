//! Tests of `endpoints`.

use super::*;

const TEXT: &str = r#"
        cluster_name: "farm"
        endpoints {
          locality { zone: "north" }
          lb_endpoints {
            endpoint { address { socket_address { address: "127.0.0.1" port_value: 8001 } } }
            health_status: DRAINING
            metadata { filter_metadata { key: "chalkdeck" value {
              fields { key: "cell" value { string_value: "a" } }
              fields { key: "started_ms" value { number_value: 1764590000000 } }
            } } }
          }
        }"#;

#[test]
fn text_and_binary_files_give_the_same_list() {
    let from_text = parse(Path::new("a.txtpb"), TEXT.as_bytes()).expect("a valid list");
    let list: ClusterLoadAssignment = text::parse(MESSAGE, TEXT).expect("a valid list");
    let binary = parse(Path::new("a.pb"), &list.encode_to_vec()).expect("a valid list");
    for endpoints in [from_text, binary] {
        assert_eq!(endpoints.len(), 1);
        let entry = &endpoints[0].entry;
        assert_eq!(
            (entry.state, entry.started_at),
            (
                EndpointState::Draining,
                Some(Timestamp::from_micros(1_764_590_000_000_000))
            )
        );
    }
}

#[test]
fn error_of_an_invalid_list_names_the_place() {
    let invalid_lists = [
        (TEXT.replace("8001", "80010"), "80010"),
        (TEXT.replace("127.0.0.1", "farm.example"), "farm.example"),
        (
            TEXT.replace("number_value: 1764590000000", "string_value: \"now\""),
            "started_ms",
        ),
        (TEXT.replace("DRAINING", "TIRED"), "TIRED"),
    ];
    for (text, place) in invalid_lists {
        let error = parse(Path::new("a.txtpb"), text.as_bytes())
            .expect_err("an invalid list")
            .to_string();
        assert!(error.contains(place), "{error} names {place}");
    }
    assert!(parse(Path::new("a.pb"), b"\xff\xff\xff").is_err());
}
