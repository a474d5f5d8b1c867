//! Sites on the admin port of a gateway: what it shows, operators' overrides, and what these do to calls.
mod common;

use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_grpc_gateway::{GatewayServer, Settings};
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

const SITES: (&str, &str) = (
    "logs {",
    "sites { on: true words_file: \"held.txtpb\" }\nlogs {",
);

/// Two servers, one in each of two zones.
fn harness() -> Harness {
    let mut harness = Harness::with_settings(2, CounterBehavior::Answers, &[SITES]);
    let lists: Vec<String> = ["a", "b"]
        .iter()
        .zip(&harness.server_addresses)
        .map(|(zone, &address)| {
            let one = endpoint_list(&[ListEntry {
                address,
                health: "HEALTHY",
            }]);
            let endpoints = one.split_once('\n').map_or("", |lines| lines.1);
            endpoints.replace("zone: \"a\"", &format!("zone: \"{zone}\""))
        })
        .collect();
    harness.replace_endpoint_list(&format!("cluster_name: \"farm\"\n{}{}", lists[0], lists[1]));
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !get(&mut harness, "/sites").1.contains("\"site\":\"b\"") {
        assert!(std::time::Instant::now() < end, "the list is read");
    }
    harness
}

/// Asks the admin port while the gateway turns.
fn get(harness: &mut Harness, path: &str) -> (String, String) {
    let admin = harness.gateway.admin_address().expect("an admin port");
    let mut stream = TcpStream::connect(admin).expect("it listens");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").expect("sent");
    stream.set_nonblocking(true).expect("a socket");
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        harness.turn();
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => panic!("{e}"),
        }
    }
    let text = String::from_utf8(text).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("an answer");
    (
        head.lines().next().unwrap_or("").to_string(),
        body.to_string(),
    )
}

fn sites(harness: &mut Harness, path: &str) -> SitesStatus {
    let (head, body) = get(harness, path);
    assert!(head.contains("200"), "{head}: {body}");
    serde_json::from_str(&body).expect("a status")
}

fn state<'a>(status: &'a SitesStatus, site: &str) -> &'a str {
    status
        .sites
        .iter()
        .find(|s| s.site == site)
        .map_or("", |s| &s.state)
}

/// Where one call goes.
fn goes_to(harness: &mut Harness) -> SocketAddr {
    let before = harness.servers.incoming_streams.len();
    let call = harness.call(VIEW, &[]);
    let stream = harness.wait_for_server_call(before + 1);
    let address = harness.servers.address_of(stream);
    harness.servers.answer(stream, b"fine");
    harness.wait_for_status(call);
    address
}

#[test]
fn site_is_drained_then_it_gets_nothing_even_after_a_restart() {
    let mut harness = harness();
    assert_eq!(state(&sites(&mut harness, "/sites"), "a"), "serving");
    assert_eq!(
        goes_to(&mut harness),
        harness.server_addresses[0],
        "near first"
    );
    assert_eq!(
        state(&sites(&mut harness, "/sites/drain/a"), "a"),
        "held out"
    );
    for _ in 0..20 {
        assert_eq!(goes_to(&mut harness), harness.server_addresses[1]);
    }
    let set = Settings::load(&harness.dir.join("gateway.txtpb")).expect("sound settings");
    harness.gateway = GatewayServer::start(set, None, 9, false).expect("a gateway");
    assert_eq!(state(&sites(&mut harness, "/sites"), "a"), "held out");
    assert_eq!(
        state(&sites(&mut harness, "/sites/let-back/a"), "a"),
        "returning"
    );
    assert!(std::fs::read_to_string(harness.dir.join("held.txtpb"))
        .expect("a file")
        .trim()
        .is_empty());
}

#[test]
fn invalid_override_then_an_error_and_no_change() {
    let mut harness = harness();
    for (path, named) in [
        ("/sites/drain/mars", "'mars'"),
        ("/sites/burn/a", "'burn'"),
        ("/sites/drain", "expected /sites"),
        ("/sites/drain/", "''"),
    ] {
        let (head, body) = get(&mut harness, path);
        assert!(
            head.contains("400") && body.contains(named),
            "{path}: {head} {body}"
        );
    }
    let status = sites(&mut harness, "/sites");
    assert!(
        status.sites.iter().all(|s| s.state == "serving"),
        "{status:?}"
    );
}

#[test]
fn sites_are_not_watched_then_the_admin_port_says_so() {
    let mut harness = Harness::new(1);
    let (head, body) = get(&mut harness, "/sites");
    assert!(
        head.contains("400") && body.contains("sites { on: true }"),
        "{head} {body}"
    );
}
