//! The relay between parties: what a network does to streams and datagrams.
use chalkdeck_testbed::common::control;
use chalkdeck_testbed::rig::links::faults::Word;
use chalkdeck_testbed::rig::links::{Link, Relay, Wire};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// A relay in a thread of its own, and where its links are reached.
fn relay(links: Vec<Link>) -> (Vec<SocketAddr>, Sender<(Word, Sender<usize>)>) {
    let mut relay = Relay::start(links, 3).expect("it listens");
    let addresses = relay.addresses();
    let (sender, words) = channel::<(Word, Sender<usize>)>();
    std::thread::spawn(move || {
        let mut events = mio::Events::with_capacity(64);
        loop {
            relay
                .turn(&mut events, Duration::from_millis(2))
                .expect("it turns");
            for (word, done) in words.try_iter() {
                let _ = done.send(relay.set(&word));
            }
        }
    });
    (addresses, sender)
}

fn set(words: &Sender<(Word, Sender<usize>)>, text: &str) -> usize {
    let (sender, done) = channel();
    let word = Word::read(&control::parse_target(&format!("/set?{text}")).1).expect("a sound word");
    words.send((word, sender)).expect("it runs");
    done.recv().expect("it answers")
}

fn link(wire: Wire, target: SocketAddr) -> Link {
    Link {
        from: "a".into(),
        to: "b".into(),
        wire,
        target,
    }
}

/// Sends back what it is sent, on any number of connections.
fn echo() -> SocketAddr {
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

fn dial(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the relay listens");
    stream
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("a time-out");
    stream
}

fn ask(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text)?;
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back)?;
    Ok(back)
}

#[test]
fn a_cut_holds_bytes_either_way_and_a_heal_brings_them() {
    let (at, words) = relay(vec![link(Wire::Tcp, echo())]);
    let mut stream = dial(at[0]);
    assert_eq!(ask(&mut stream, b"one").expect("it passes"), b"one");
    for way in ["there", "back"] {
        assert_eq!(set(&words, &format!("from=a&to=b&way={way}&cut=1")), 1);
        let kind = ask(&mut stream, b"two").expect_err("it is cut").kind();
        assert!(
            matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut),
            "{kind:?}"
        );
        set(&words, "heal=1");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        let mut back = [0; 3];
        stream.read_exact(&mut back).expect("healed");
        assert_eq!(&back, b"two");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a time-out");
    }
    assert_eq!(set(&words, "from=b&to=a&cut=1"), 0, "no link runs that way");
}

#[test]
fn a_reset_breaks_what_is_open_and_new_connects_pass() {
    let (at, words) = relay(vec![link(Wire::Tcp, echo())]);
    let mut stream = dial(at[0]);
    assert_eq!(ask(&mut stream, b"one").expect("it passes"), b"one");
    set(&words, "reset=1");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time-out");
    assert!(ask(&mut stream, b"two").is_err());
    assert_eq!(
        ask(&mut dial(at[0]), b"three").expect("it passes"),
        b"three"
    );
}

#[test]
fn while_nobody_listens_behind_connects_are_refused_and_pass_again_after() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("bound");
    drop(listener);
    let (at, _words) = relay(vec![link(Wire::Tcp, target)]);
    let refused =
        || TcpStream::connect(at[0]).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused);
    assert!((0..2_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        refused()
    }));
    let _again = TcpListener::bind(target).expect("the port is free");
    assert!((0..2_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        TcpStream::connect(at[0]).is_ok()
    }));
}

#[test]
fn datagrams_pass_both_ways_and_what_a_cut_takes_is_lost() {
    let far = UdpSocket::bind("127.0.0.1:0").expect("a port");
    far.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time-out");
    let (at, words) = relay(vec![link(Wire::Udp, far.local_addr().expect("bound"))]);
    let near = UdpSocket::bind("127.0.0.1:0").expect("a port");
    near.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time-out");
    let mut buffer = [0; 64];
    let mut pass = |text: &[u8]| {
        near.send_to(text, at[0]).expect("sent");
        let (n, from) = far.recv_from(&mut buffer).expect("it comes");
        let came = buffer[..n].to_vec();
        far.send_to(&came, from).expect("sent back");
        near.recv_from(&mut buffer).expect("it comes back");
        came
    };
    assert_eq!(pass(b"one"), b"one");
    set(&words, "cut=1");
    near.send_to(b"lost", at[0]).expect("sent");
    // The relay has read it once it has answered two words after.
    set(&words, "cut=1");
    std::thread::sleep(Duration::from_millis(50));
    set(&words, "heal=1");
    assert_eq!(
        pass(b"two"),
        b"two",
        "what the cut took does not come later"
    );
}
