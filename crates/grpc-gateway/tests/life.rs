//! Settings that are wrong, settings that are read again, and stops.
mod common;
use chalkdeck_grpc_gateway::Settings;
use chalkdeck_net::grpc::Code;
use chalkdeck_net::signals::Signals;
use common::*;

const SOUND: &str = r#"listen: "127.0.0.1:0"
classes { name: "view" deadline_ms: 1000 effect: SAFE }
plans { name: "free" }
routes { path: "/a.B/C" class: "view" }
customers { default_plan: "free" }
endpoints { file: "list.txtpb" }
"#;

#[test]
fn each_wrong_setting_is_named_with_its_line() {
    assert!(Settings::parse("x", SOUND).is_ok());
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
    for (from, to, line, place) in cases {
        let error = Settings::parse("x", &SOUND.replace(from, to)).expect_err(to);
        assert!(error.what.contains(place), "{error} names {place}");
        assert_eq!(error.line, line, "{error}");
    }
}

#[test]
fn settings_read_again_take_customers_and_leave_what_needs_a_start() {
    let mut rig = Rig::new(1);
    let file = rig.dir.join("gateway.txtpb");
    let text = std::fs::read_to_string(&file).expect("settings");
    std::fs::write(&file, text.replace("default_plan: \"free\"", "")).expect("settings");
    rig.gateway.reload();
    let call = rig.call(VIEW, &[]);
    assert_eq!(
        rig.ended(call),
        Code::Unauthenticated,
        "there is no default plan any more"
    );
    for wrong in [
        text.replace("rate: 2", "rate: 900"),
        "fleet: \"many\"".to_string(),
    ] {
        std::fs::write(&file, wrong).expect("settings");
        rig.gateway.reload();
        let call = rig.call(VIEW, &[]);
        assert_eq!(
            rig.ended(call),
            Code::Unauthenticated,
            "the earlier settings stay"
        );
    }
}

#[test]
fn a_stop_lets_calls_end_and_takes_no_new_ones() {
    let mut rig = Rig::new(1);
    let call = rig.call(BUY, &[]);
    let stream = rig.arrived(1);
    let signals = Signals::default();
    signals.ask_stop();
    let Rig {
        gateway,
        servers,
        client,
        conn,
        counter,
        ..
    } = &mut rig;
    std::thread::scope(|scope| {
        let stopped = scope.spawn(|| gateway.run(&signals).map(|()| gateway.open_call_count()));
        servers.answer(stream, b"fine");
        let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while !client.seen.get(&call).is_some_and(|s| s.ended) {
            assert!(std::time::Instant::now() < end, "the call ends");
            client.turn();
            servers.turn();
            counter.turn();
        }
        assert_eq!(client.seen[&call].code(), Some(Code::Ok));
        assert_eq!(stopped.join().expect("it runs").expect("it stops well"), 0);
        while !client.closed.contains(conn) && client.engine.available_streams(*conn) > 0 {
            assert!(std::time::Instant::now() < end, "the client hears of it");
            client.turn();
            if client
                .engine
                .open(
                    *conn,
                    chalkdeck_net::grpc::request("g", BUY).expect("a head"),
                    true,
                )
                .is_none()
            {
                break;
            }
        }
    });
}
