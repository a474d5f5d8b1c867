//! Tests of the discovery client against a fake agent that fails in several ways, on a controlled clock. They measure the delay from
//! publishing a change of the list to applying it. All times are in microseconds.

use super::test_support::*;
use super::*;
use chalkdeck_net::Limits;
use std::net::TcpStream;

/// The longest delay that `fault` returns when it begins at different moments of a long poll, 30 ms apart.
fn worst_delay(response_format: fn(&str) -> String, fault: impl Fn(&mut Setup) -> u64) -> u64 {
    let poll = timing().poll.as_micros();
    let moments = (0..poll + call_timeout()).step_by(30_000);
    let delays = moments.map(|moment| {
        let mut setup = Setup::new(AgentMode::Responds, response_format);
        setup.advance(100_000 + moment);
        assert_eq!(
            setup.version, setup.published,
            "the list is up to date before the fault"
        );
        fault(&mut setup)
    });
    delays.max().expect("at least one moment")
}

#[test]
fn change_while_a_poll_waits_then_applied_at_once() {
    assert!(worst_delay(with_length, Setup::publish_delay) <= 2 * STEP + TOLERANCE);
}

#[test]
fn connection_falls_silent_then_replaced_within_the_call_timeout() {
    for mode in [AgentMode::Silent, AgentMode::Truncates] {
        // The agent is silent on the current connection only and responds on the next one.
        let delay = worst_delay(with_length, |setup| {
            setup.set_mode(mode);
            setup.step();
            // The agent never responds to calls that it received while silent.
            setup.waiting.clear();
            setup.set_mode(AgentMode::Responds);
            setup.publish_delay()
        });
        assert!(
            delay <= call_timeout() + 3 * STEP + TOLERANCE,
            "{mode:?} on one connection: {delay}"
        );
        // The agent is silent on the next connections as well.
        let delay = worst_delay(with_length, |setup| {
            setup.set_mode(mode);
            setup.published += 1;
            let started_at = setup.engine.now();
            setup.advance(2 * call_timeout());
            setup.set_mode(AgentMode::Responds);
            setup.delay_until_applied();
            setup.engine.now() - started_at
        });
        assert!(
            delay <= 3 * call_timeout() + 4 * STEP + TOLERANCE,
            "{mode:?} on several connections: {delay}"
        );
    }
}

#[test]
fn agent_returns_after_an_outage_then_its_list_applied_within_half_of_the_grace() {
    for (mode, bound) in [
        (AgentMode::Silent, call_timeout()),
        (AgentMode::Refuses, timing().retry_delay.as_micros()),
    ] {
        let delay = worst_delay(with_length, |setup| {
            setup.set_mode(mode);
            setup.advance(8 * DRAIN_GRACE / 2);
            setup.set_mode(AgentMode::Responds);
            setup.publish_delay()
        });
        assert!(delay <= bound + 3 * STEP + TOLERANCE, "{mode:?}: {delay}");
        assert!(
            delay < DRAIN_GRACE / 2 + TOLERANCE,
            "{mode:?}: {delay} of a grace of {DRAIN_GRACE}"
        );
    }
}

#[test]
fn first_call_of_a_process_lost_then_list_applied_within_the_call_timeout() {
    let mut setup = Setup::new(AgentMode::Silent, with_length);
    setup.advance(50_000);
    setup.set_mode(AgentMode::Responds);
    let elapsed = setup.delay_until_applied();
    assert!(
        elapsed <= call_timeout() + 3 * STEP + TOLERANCE,
        "{elapsed}"
    );
    let mut setup = Setup::new(AgentMode::Responds, with_length);
    assert!(
        setup.delay_until_applied() <= 2 * STEP + TOLERANCE,
        "an agent that responds at once"
    );
}

#[test]
fn connection_never_established_then_replaced_like_a_silent_one() {
    // Connections to a listener with a full backlog are never established.
    let full_listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    full_listener
        .bind(&any.into())
        .and_then(|()| full_listener.listen(0))
        .expect("a free port");
    let address = full_listener
        .local_addr()
        .ok()
        .and_then(|a| a.as_socket())
        .expect("its address");
    let mut backlog = Vec::new();
    while let Ok(stream) =
        TcpStream::connect_timeout(&address, std::time::Duration::from_millis(200))
    {
        backlog.push(stream);
    }
    let mut setup = Setup::new(AgentMode::Responds, with_length);
    setup.advance(100_000);
    let action = setup.discovery.set_address(&mut setup.engine, address);
    setup.execute(action);
    setup.advance(call_timeout() / 2);
    // The address is set back to the agent that responds; its complete list is requested by the next call.
    let (applied_before, agent_address) = (setup.list_count, setup.address);
    setup.discovery.address = agent_address;
    let started_at = setup.engine.now();
    while setup.list_count == applied_before {
        setup.step();
        assert!(
            setup.engine.now() - started_at < DRAIN_GRACE,
            "never applied"
        );
    }
    let elapsed = setup.engine.now() - started_at;
    assert!(
        elapsed <= call_timeout() + 3 * STEP + TOLERANCE,
        "{elapsed}"
    );
    assert!(backlog.len() < 10);
}

#[test]
fn agent_silent_right_after_a_new_address_then_connected_again() {
    let mut setup = Setup::new(AgentMode::Responds, with_length);
    setup.advance(300_000);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listener, address) = setup
        .engine
        .listen_plain(any, Limits::default())
        .expect("a free port");
    setup.listener = listener;
    setup.address = address;
    setup.mode = AgentMode::Silent;
    let action = setup.discovery.set_address(&mut setup.engine, address);
    setup.execute(action);
    setup.advance(20_000);
    setup.set_mode(AgentMode::Responds);
    setup.published = 40;
    let elapsed = setup.delay_until_applied();
    assert!(
        elapsed <= call_timeout() + 3 * STEP + TOLERANCE,
        "{elapsed}"
    );
}

#[test]
fn response_indented_or_chunked_then_applied() {
    let indented =
        |body: &str| with_length(&body.replace(',', " ,\r\n\t  ").replace('{', "\n {\n "));
    let chunked = |body: &str| {
        let (one, two) = body.split_at(body.len() / 3);
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x};note=1\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        )
    };
    let formats: [fn(&str) -> String; 2] = [indented, chunked];
    for format in formats {
        let mut setup = Setup::new(AgentMode::Responds, format);
        for _ in 0..5 {
            setup.advance(700_000);
            assert!(setup.publish_delay() <= 2 * STEP + TOLERANCE);
        }
    }
}

#[test]
fn invalid_response_then_last_list_stays_and_the_complete_one_is_requested() {
    let invalid_formats: [fn(&str) -> String; 8] = [
        |_| "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into(),
        |_| "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
        |_| "HTTP/1.1 200 OK\r\n\r\n{}".into(),
        |_| "noise\r\n\r\n".into(),
        |_| with_length("{]"),
        |_| {
            with_length(
                r#"{"index":9,"snapshot":false,"endpoints":[{"name":"s","address":"x","status":"ready"}]}"#,
            )
        },
        |_| "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".into(),
        |_| "HTTP/1.1 301 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n".into(),
    ];
    for (i, format) in invalid_formats.into_iter().enumerate() {
        let mut setup = Setup::new(AgentMode::Responds, with_length);
        setup.advance(100_000);
        let (count, version) = (setup.list_count, setup.version);
        setup.response_format = format;
        setup.published += 1;
        setup.advance(400_000);
        assert_eq!(
            (setup.list_count, setup.version),
            (count, version),
            "format {i}"
        );
        setup.response_format = with_length;
        let elapsed = setup.delay_until_applied();
        assert!(
            elapsed <= call_timeout() + 3 * STEP + TOLERANCE,
            "format {i}: {elapsed}"
        );
        assert_eq!(
            setup.discovery.held_version,
            Some(setup.published),
            "format {i}"
        );
    }
}

#[test]
fn durations_derive_from_the_drain_grace() {
    for grace in [100_000, 250_000, 1_000_000, 2_000_000, 5_000_000] {
        let timing = Timing::new(TimeDelta::from_micros(grace));
        assert!(
            timing.timeout.as_micros() <= grace / 2,
            "{timing:?} of {grace}"
        );
        assert!(
            timing.retry_delay < timing.poll && timing.poll < timing.timeout,
            "{timing:?}"
        );
    }
}

/// How the agent ends a connection after a response without a stated length.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Close {
    Orderly,
    Reset,
}

/// Sends these bytes, a response without a stated length, in reply to the next call and closes the connection. Closing it while bytes are
/// unread causes a reset.
fn respond_and_close(setup: &mut Setup, agent: &std::net::TcpListener, data: &[u8], close: Close) {
    use std::io::{ErrorKind, Read, Write};
    let mut stream = loop {
        match agent.accept() {
            Ok((stream, _)) => break stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock => setup.step(),
            Err(e) => panic!("the agent cannot accept: {e}"),
        }
    };
    stream.set_nonblocking(true).expect("a socket");
    let mut request = [0; 1_024];
    while !matches!(stream.peek(&mut request), Ok(length) if length > 0) {
        setup.step();
    }
    stream.write_all(data).expect("the response is sent");
    if close == Close::Orderly {
        let length = stream.read(&mut request).expect("the request");
        assert!(request[..length].ends_with(b"\r\n\r\n"));
    }
    drop(stream);
    (0..5).for_each(|_| setup.step());
}

#[test]
fn response_without_a_length_then_complete_at_an_orderly_end_and_never_at_a_reset() {
    let body = r#"{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","status":"draining"}]}"#;
    let complete = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}");
    let truncated = &complete[..complete.len() - 20];
    for (response, close, is_applied) in [
        (complete.as_str(), Close::Orderly, true),
        (&complete, Close::Reset, false),
        (truncated, Close::Orderly, false),
        (truncated, Close::Reset, false),
    ] {
        let agent = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        agent.set_nonblocking(true).expect("a socket");
        let address = agent.local_addr().expect("its address");
        let mut setup = Setup::new(AgentMode::Responds, with_length);
        setup.advance(300_000);
        let applied_before = setup.list_count;
        let action = setup.discovery.set_address(&mut setup.engine, address);
        setup.execute(action);
        respond_and_close(&mut setup, &agent, response.as_bytes(), close);
        assert_eq!(
            setup.list_count > applied_before,
            is_applied,
            "{close:?} after {} bytes",
            response.len()
        );
        assert_eq!(
            setup.version == 7,
            is_applied,
            "{close:?} after {} bytes",
            response.len()
        );
        // After an incomplete response the complete list is soon requested again.
        respond_and_close(&mut setup, &agent, complete.as_bytes(), Close::Orderly);
        assert_eq!(
            setup.version,
            7,
            "{close:?} after {} bytes, then a complete response",
            response.len()
        );
    }
}
