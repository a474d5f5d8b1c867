//! Tests that the relay passes streams and datagrams and injects network faults into them.
use chalkdeck_testbed::common::control;
use chalkdeck_testbed::rig::links::faults::LinkCommand;
use chalkdeck_testbed::rig::links::{Link, Protocol, Relay};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// Starts a relay in a thread of its own; returns the addresses of its links and the channel for commands.
fn start_relay(links: Vec<Link>) -> (Vec<SocketAddr>, Sender<(LinkCommand, Sender<usize>)>) {
    let mut relay = Relay::start(links, 3).expect("the relay listens");
    let addresses = relay.addresses();
    let (sender, commands) = channel::<(LinkCommand, Sender<usize>)>();
    std::thread::spawn(move || {
        let mut events = mio::Events::with_capacity(64);
        loop {
            relay
                .poll_once(&mut events, Duration::from_millis(2))
                .expect("the poll succeeds");
            for (command, result) in commands.try_iter() {
                let _ = result.send(relay.apply(&command));
            }
        }
    });
    (addresses, sender)
}

/// Applies a command; returns the number of links that it applies to.
fn apply(commands: &Sender<(LinkCommand, Sender<usize>)>, text: &str) -> usize {
    let (sender, result) = channel();
    let command = LinkCommand::parse(&control::parse_target(&format!("/set?{text}")).1)
        .expect("a valid command");
    commands.send((command, sender)).expect("the relay runs");
    result.recv().expect("the relay responds")
}

fn link(protocol: Protocol, target: SocketAddr) -> Link {
    Link {
        from: "a".into(),
        to: "b".into(),
        protocol,
        target,
    }
}

/// Starts an echo server for any number of connections; returns its address.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 4_096];
                while let Ok(n) = stream.read(&mut buffer) {
                    if n == 0 || stream.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the relay listens");
    stream
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("a timeout");
    stream
}

/// Sends bytes and reads as many back.
fn round_trip(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text)?;
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back)?;
    Ok(back)
}

#[test]
fn a_cut_holds_bytes_in_each_direction_and_healing_delivers_them() {
    let (addresses, commands) = start_relay(vec![link(Protocol::Tcp, start_echo_server())]);
    let mut stream = connect(addresses[0]);
    assert_eq!(
        round_trip(&mut stream, b"one").expect("the bytes pass"),
        b"one"
    );
    for direction in ["there", "back"] {
        assert_eq!(
            apply(&commands, &format!("from=a&to=b&way={direction}&cut=1")),
            1
        );
        let kind = round_trip(&mut stream, b"two")
            .expect_err("the link is cut")
            .kind();
        assert!(
            matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut),
            "{kind:?}"
        );
        apply(&commands, "heal=1");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a timeout");
        let mut back = [0; 3];
        stream.read_exact(&mut back).expect("the link is healed");
        assert_eq!(&back, b"two");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a timeout");
    }
    assert_eq!(
        apply(&commands, "from=b&to=a&cut=1"),
        0,
        "no link from b to a"
    );
}

#[test]
fn a_reset_breaks_open_connections_and_new_ones_succeed() {
    let (addresses, commands) = start_relay(vec![link(Protocol::Tcp, start_echo_server())]);
    let mut stream = connect(addresses[0]);
    assert_eq!(
        round_trip(&mut stream, b"one").expect("the bytes pass"),
        b"one"
    );
    apply(&commands, "reset=1");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    assert!(round_trip(&mut stream, b"two").is_err());
    assert_eq!(
        round_trip(&mut connect(addresses[0]), b"three").expect("the bytes pass"),
        b"three"
    );
}

#[test]
fn connections_are_refused_while_the_target_does_not_listen() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("bound");
    drop(listener);
    let (addresses, _commands) = start_relay(vec![link(Protocol::Tcp, target)]);
    let refused = || {
        TcpStream::connect(addresses[0]).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
    };
    assert!((0..2_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        refused()
    }));
    let _listener = TcpListener::bind(target).expect("the port is free");
    assert!((0..2_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        TcpStream::connect(addresses[0]).is_ok()
    }));
}

#[test]
fn datagrams_pass_in_both_directions_and_a_cut_loses_them() {
    let target = UdpSocket::bind("127.0.0.1:0").expect("a port");
    target
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let (addresses, commands) = start_relay(vec![link(
        Protocol::Udp,
        target.local_addr().expect("bound"),
    )]);
    let client = UdpSocket::bind("127.0.0.1:0").expect("a port");
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let mut buffer = [0; 64];
    let mut round_trip = |text: &[u8]| {
        client.send_to(text, addresses[0]).expect("sent");
        let (n, from) = target.recv_from(&mut buffer).expect("the datagram arrives");
        let received = buffer[..n].to_vec();
        target.send_to(&received, from).expect("sent back");
        client.recv_from(&mut buffer).expect("the response arrives");
        received
    };
    assert_eq!(round_trip(b"one"), b"one");
    apply(&commands, "cut=1");
    client.send_to(b"lost", addresses[0]).expect("sent");
    // After two more commands, the relay has read the datagram.
    apply(&commands, "cut=1");
    std::thread::sleep(Duration::from_millis(50));
    apply(&commands, "heal=1");
    assert_eq!(
        round_trip(b"two"),
        b"two",
        "a datagram that a cut lost does not arrive later"
    );
}
