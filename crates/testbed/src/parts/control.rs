//! Control ports: `GET /set?name=value&...` over HTTP/1.1 on loopback.

use anyhow::{bail, Context};
use chalkdeck_net::{ConnId, Engine};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a GET asks: its path and the pairs after the question mark.
pub fn parse(target: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter(|p| !p.is_empty());
    let pairs = pairs.map(|p| p.split_once('=').unwrap_or((p, "1")));
    (
        path.to_string(),
        pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
    )
}

/// Answers a command.
pub fn answer(engine: &mut Engine, conn: ConnId, done: Result<(), String>) {
    match done {
        Ok(()) => engine.reply(conn, 200, "ok\n"),
        Err(what) => engine.reply(conn, 400, &what),
    }
}

/// Asks a control or admin port; returns the body.
pub fn get(address: SocketAddr, target: &str) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET {target} HTTP/1.1\r\nhost: {address}\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .context("expected an HTTP answer")?;
    if !head.starts_with("HTTP/1.1 200") {
        bail!("{address}{target}: {body}");
    }
    Ok(body.to_string())
}

/// A metric of an admin port, by its name.
pub fn metric(admin: SocketAddr, name: &str) -> anyhow::Result<f64> {
    let text = get(admin, "/metrics")?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    Ok(line.with_context(|| format!("expected {name}"))?.parse()?)
}
