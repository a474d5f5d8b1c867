//! Subcommand that runs the relay as a process with a control port.

use crate::common::control;
use crate::common::process::init_process;
use crate::rig::links::faults::LinkCommand;
use crate::rig::links::relay::{Link, Protocol, Relay};
use anyhow::{bail, Context};
use chalkdeck_net::signals::Signals;
use clap::Args;
use mio::Waker;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

#[derive(Args)]
pub struct LinksArgs {
    /// A link as FROM,TO,tcp|udp,IP:PORT; may be repeated
    #[arg(long = "link", required = true)]
    pub links: Vec<String>,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

fn parse_link(text: &str) -> anyhow::Result<Link> {
    let fields: Vec<&str> = text.split(',').collect();
    let [from, to, protocol, target] = fields[..] else {
        bail!("--link: expected FROM,TO,PROTOCOL,TARGET, found '{text}'")
    };
    let protocol = match protocol {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        other => bail!("--link: expected tcp or udp, found '{other}'"),
    };
    let target = target
        .parse()
        .with_context(|| format!("--link: expected ip:port, found '{target}'"))?;
    Ok(Link {
        from: from.to_string(),
        to: to.to_string(),
        protocol,
        target,
    })
}

/// A command, and the channel for its result: the number of links that it applies to.
type PendingCommand = (LinkCommand, Sender<usize>);

/// Runs a relay until a signal stops it.
pub fn command(args: &LinksArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let links = args
        .links
        .iter()
        .map(|l| parse_link(l))
        .collect::<anyhow::Result<Vec<_>>>()?;
    let mut relay = Relay::start(links, args.seed)?;
    let (sender, commands) = channel();
    let control = TcpListener::bind(args.control)?;
    let addresses: Vec<String> = relay.addresses().iter().map(ToString::to_string).collect();
    println!(
        "ready links={} control={}",
        addresses.join(","),
        control.local_addr()?
    );
    let waker = relay.waker()?;
    std::thread::spawn(move || serve_control_port(&control, &sender, &waker));
    run(&mut relay, &commands, &signals)
}

fn run(
    relay: &mut Relay,
    commands: &Receiver<PendingCommand>,
    signals: &Signals,
) -> anyhow::Result<()> {
    let mut events = mio::Events::with_capacity(1_024);
    while !signals.is_stop_requested() {
        relay.poll_once(&mut events, Duration::from_millis(100))?;
        for (command, result) in commands.try_iter() {
            // The requester may have timed out.
            let _ = result.send(relay.apply(&command));
        }
    }
    Ok(())
}

fn serve_control_port(
    control: &TcpListener,
    commands: &Sender<PendingCommand>,
    waker: &Arc<Waker>,
) {
    for stream in control.incoming().flatten() {
        if let Err(e) = handle_request(stream, commands, waker) {
            tracing::warn!(error = %e, "control request failed");
        }
    }
}

fn handle_request(
    mut stream: TcpStream,
    commands: &Sender<PendingCommand>,
    waker: &Arc<Waker>,
) -> anyhow::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut head = BufReader::new(stream.try_clone()?).lines();
    let first = head.next().context("expected a request")??;
    while head
        .next()
        .transpose()?
        .is_some_and(|line| !line.is_empty())
    {}
    let target = first.split_whitespace().nth(1).unwrap_or("/");
    let (status, body) = match LinkCommand::parse(&control::parse_target(target).1) {
        Err(message) => ("400 Bad Request", message),
        Ok(command) => {
            let (sender, result) = channel();
            commands.send((command, sender))?;
            waker.wake()?;
            match result.recv_timeout(Duration::from_secs(5))? {
                0 => (
                    "400 Bad Request",
                    "no link between these sites\n".to_string(),
                ),
                links => ("200 OK", format!("{links}\n")),
            }
        }
    };
    write!(
        stream,
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )?;
    Ok(())
}
