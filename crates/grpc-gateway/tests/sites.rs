//! Sites on the admin port of a gateway: their status, operators' overrides, and the effect of overrides on calls.
mod common;

use chalkdeck_grpc_gateway::sites::SitesStatus;
use chalkdeck_grpc_gateway::{GatewayServer, Settings};
use common::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

const ENABLE_SITES: (&str, &str) = (
    "logs {",
    "sites { on: true words_file: \"held.txtpb\" }\nlogs {",
);

/// A harness with two servers, in zones `a` and `b`.
fn two_site_harness() -> Harness {
    let mut harness = Harness::with_settings(2, CounterBehavior::Answers, &[ENABLE_SITES]);
    let lists: Vec<String> = ["a", "b"]
        .iter()
        .zip(&harness.server_addresses)
        .map(|(zone, &address)| {
            let list = endpoint_list(&[ListEntry {
                address,
                health: "HEALTHY",
            }]);
            let endpoints = list.split_once('\n').map_or("", |lines| lines.1);
            endpoints.replace("zone: \"a\"", &format!("zone: \"{zone}\""))
        })
        .collect();
    harness.replace_endpoint_list(&format!("cluster_name: \"farm\"\n{}{}", lists[0], lists[1]));
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !get(&mut harness, "/sites").1.contains("\"site\":\"b\"") {
        assert!(std::time::Instant::now() < end, "the endpoint list is read");
    }
    harness
}

/// Sends a GET request to the admin port. Returns the status line and the body of the response.
fn get(harness: &mut Harness, path: &str) -> (String, String) {
    let admin = harness.gateway.admin_address().expect("an admin port");
    let mut stream = TcpStream::connect(admin).expect("a connection");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    stream.set_nonblocking(true).expect("a non-blocking socket");
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        harness.turn();
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&buffer[..n]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("{error}"),
        }
    }
    let text = String::from_utf8(text).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a response");
    (
        head.lines().next().unwrap_or("").to_string(),
        body.to_string(),
    )
}

/// The status of the sites in the response to a GET request.
fn sites_status(harness: &mut Harness, path: &str) -> SitesStatus {
    let (head, body) = get(harness, path);
    assert!(head.contains("200"), "{head}: {body}");
    serde_json::from_str(&body).expect("a status")
}

fn state_of<'a>(status: &'a SitesStatus, site: &str) -> &'a str {
    status
        .sites
        .iter()
        .find(|status| status.site == site)
        .map_or("", |status| &status.state)
}

/// Makes a call; returns the address of the server that receives it.
fn server_of_call(harness: &mut Harness) -> SocketAddr {
    let earlier_calls = harness.servers.incoming_streams.len();
    let call = harness.call(VIEW, &[]);
    let stream = harness.wait_for_server_call(earlier_calls + 1);
    let address = harness.servers.address_of(stream);
    harness.servers.answer(stream, b"fine");
    harness.wait_for_status(call);
    address
}

#[test]
fn drained_site_gets_no_calls_and_stays_out_of_service_after_a_restart() {
    let mut harness = two_site_harness();
    assert_eq!(
        state_of(&sites_status(&mut harness, "/sites"), "a"),
        "serving"
    );
    assert_eq!(
        server_of_call(&mut harness),
        harness.server_addresses[0],
        "the gateway's own zone is preferred"
    );
    assert_eq!(
        state_of(&sites_status(&mut harness, "/sites/drain/a"), "a"),
        "held out"
    );
    for _ in 0..20 {
        assert_eq!(server_of_call(&mut harness), harness.server_addresses[1]);
    }
    let settings = Settings::load(&harness.dir.join("gateway.txtpb")).expect("valid settings");
    harness.gateway = GatewayServer::start(settings, None, 9, false).expect("a gateway");
    assert_eq!(
        state_of(&sites_status(&mut harness, "/sites"), "a"),
        "held out"
    );
    assert_eq!(
        state_of(&sites_status(&mut harness, "/sites/let-back/a"), "a"),
        "returning"
    );
    assert!(std::fs::read_to_string(harness.dir.join("held.txtpb"))
        .expect("the file of overrides")
        .trim()
        .is_empty());
}

#[test]
fn invalid_override_is_rejected_and_changes_nothing() {
    let mut harness = two_site_harness();
    for (path, expected) in [
        ("/sites/drain/mars", "'mars'"),
        ("/sites/burn/a", "'burn'"),
        ("/sites/drain", "expected /sites"),
        ("/sites/drain/", "''"),
    ] {
        let (head, body) = get(&mut harness, path);
        assert!(
            head.contains("400") && body.contains(expected),
            "{path}: {head} {body}"
        );
    }
    let status = sites_status(&mut harness, "/sites");
    assert!(
        status.sites.iter().all(|site| site.state == "serving"),
        "{status:?}"
    );
}

#[test]
fn request_about_sites_is_rejected_if_failover_is_not_enabled() {
    let mut harness = Harness::new(1);
    let (head, body) = get(&mut harness, "/sites");
    assert!(
        head.contains("400") && body.contains("sites { on: true }"),
        "{head} {body}"
    );
}
