//! Control ports, which take commands as `GET /set?name=value&...` over HTTP/1.1 on loopback.

use anyhow::{bail, Context};
use chalkdeck_net::{ConnId, Engine};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Splits a request target into its path and query parameters; a parameter without a value gets the value 1.
pub fn parse_target(target: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter(|p| !p.is_empty());
    let pairs = pairs.map(|p| p.split_once('=').unwrap_or((p, "1")));
    (
        path.to_string(),
        pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
    )
}

/// Responds to a command: 200 on success, 400 with the message on an error.
pub fn respond(engine: &mut Engine, conn: ConnId, result: Result<(), String>) {
    match result {
        Ok(()) => engine.reply(conn, 200, "ok\n"),
        Err(message) => engine.reply(conn, 400, &message),
    }
}

/// Sends a GET to a control or admin port; returns the body of the response. Any status but 200 is an error.
pub fn get(address: SocketAddr, target: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .context("expected an HTTP answer")?;
    if !head.starts_with("HTTP/1.1 200") {
        bail!("{address}{target}: {body}");
    }
    Ok(body.to_string())
}

/// Reads a metric from an admin port by its full name, labels included.
pub fn read_metric(admin: SocketAddr, name: &str) -> anyhow::Result<f64> {
    let text = get(admin, "/metrics")?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    Ok(line
        .with_context(|| format!("expected the metric {name}"))?
        .parse()?)
}
