//! Invalid settings, reloads and shutdown.
mod common;
use chalkdeck_grpc_gateway::Settings;
use chalkdeck_net::grpc::Code;
use chalkdeck_net::signals::Signals;
use common::*;

const VALID_SETTINGS: &str = r#"listen: "127.0.0.1:0"
classes { name: "view" deadline_ms: 1000 effect: SAFE }
plans { name: "free" }
routes { path: "/a.B/C" class: "view" }
customers { default_plan: "free" }
endpoints { file: "list.txtpb" }
"#;

#[test]
fn error_of_each_invalid_setting_names_it_and_its_line() {
    assert!(Settings::parse("x", VALID_SETTINGS).is_ok());
    let cases = [
        ("listen: \"127.0.0.1:0\"", "listen: \"here\"", 1, "listen"),
        ("deadline_ms: 1000", "deadline_ms: 0", 2, "deadline_ms"),
        ("deadline_ms: 1000", "deadline_ms: -5", 2, "-5"),
        ("deadline_ms: 1000", "deadline_sm: 5", 2, "deadline_sm"),
        ("effect: SAFE", "", 2, "effect"),
        ("effect: SAFE", "effect: KEYED", 2, "window_ms"),
        (
            "deadline_ms: 1000",
            "deadline_ms: 1000 aim_ms: 2000",
            2,
            "aim_ms",
        ),
        (
            "plans { name: \"free\" }",
            "plans { name: \"free\" rate: 5 }",
            1,
            "burst",
        ),
        (
            "plans { name: \"free\" }",
            "plans { name: \"free\" rate: -5 burst: 1 }",
            1,
            "plan",
        ),
        ("class: \"view\"", "class: \"vew\"", 4, "vew"),
        ("/a.B/C", "a.B/C", 4, "path"),
        (
            "default_plan: \"free\"",
            "default_plan: \"gold\"",
            5,
            "gold",
        ),
        ("file: \"list.txtpb\"", "", 1, "endpoints.file"),
        (
            "customers {",
            "logs { level: \"loud\" }\ncustomers {",
            5,
            "loud",
        ),
    ];
    for (from, to, line, name) in cases {
        let error = Settings::parse("x", &VALID_SETTINGS.replace(from, to)).expect_err(to);
        assert!(error.what.contains(name), "{error} does not name {name}");
        assert_eq!(error.line, line, "{error}");
    }
}

#[test]
fn reload_applies_customers_and_rejects_what_needs_a_restart() {
    let mut harness = Harness::new(1);
    let file = harness.dir.join("gateway.txtpb");
    let text = std::fs::read_to_string(&file).expect("settings");
    std::fs::write(&file, text.replace("default_plan: \"free\"", "")).expect("settings");
    harness.gateway.reload();
    let call = harness.call(VIEW, &[]);
    assert_eq!(
        harness.wait_for_status(call),
        Code::Unauthenticated,
        "the new settings have no default plan"
    );
    for rejected in [
        text.replace("rate: 2", "rate: 900"),
        "fleet: \"many\"".to_string(),
    ] {
        std::fs::write(&file, rejected).expect("settings");
        harness.gateway.reload();
        let call = harness.call(VIEW, &[]);
        assert_eq!(
            harness.wait_for_status(call),
            Code::Unauthenticated,
            "the previous settings stay"
        );
    }
}

#[test]
fn shutdown_finishes_open_calls_and_accepts_no_new_ones() {
    let mut harness = Harness::new(1);
    let call = harness.call(BUY, &[]);
    let stream = harness.wait_for_server_call(1);
    let signals = Signals::default();
    signals.request_stop();
    let Harness {
        gateway,
        servers,
        client,
        connection,
        counter,
        ..
    } = &mut harness;
    std::thread::scope(|scope| {
        let gateway_thread =
            scope.spawn(|| gateway.run(&signals).map(|()| gateway.open_call_count()));
        servers.answer(stream, b"fine");
        let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while !client.streams.get(&call).is_some_and(|s| s.is_ended) {
            assert!(
                std::time::Instant::now() < deadline,
                "the call did not end in time"
            );
            client.turn();
            servers.turn();
            counter.turn();
        }
        assert_eq!(client.streams[&call].code(), Some(Code::Ok));
        assert_eq!(
            gateway_thread
                .join()
                .expect("no panic")
                .expect("a clean shutdown"),
            0
        );
        while !client.closed_connections.contains(connection)
            && client.engine.available_streams(*connection) > 0
        {
            assert!(
                std::time::Instant::now() < deadline,
                "the client received no GOAWAY in time"
            );
            client.turn();
            if client
                .engine
                .open_stream(
                    *connection,
                    chalkdeck_net::grpc::request_head("g", BUY).expect("a head"),
                    true,
                )
                .is_none()
            {
                break;
            }
        }
    });
}
