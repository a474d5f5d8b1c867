//! A new process at the address of a backend that has gone is not taken for that backend by a gateway process.

mod platform;

use platform::clients::{next_id, read_command};
use platform::{
    respond_to_commands, start_changing_discovery, start_counter, EndpointList, Gateway,
    SMALL_GRANT,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of times that a backend is replaced.
const REPLACEMENTS: usize = 6;
/// The time within which the gateway has applied a list that discovery has.
const LIST_TIME: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(5);

/// What backends ran: the name of the backend and the id of the request.
type Runs = Arc<Mutex<Vec<(String, u64)>>>;

/// A backend process, as seen from outside: it runs what it receives, and holds its replies back while `is_holding`.
struct Backend {
    address: SocketAddr,
    is_holding: Arc<AtomicBool>,
    has_gone: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Backend {
    /// Starts a backend at an address, as soon as that is free.
    fn start(name: &str, address: SocketAddr, runs: &Runs) -> Backend {
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) => assert!(begun.elapsed() < TIMEOUT, "{address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        listener.set_nonblocking(true).expect("a socket");
        let backend = Backend {
            address: listener.local_addr().expect("its address"),
            is_holding: Arc::default(),
            has_gone: Arc::default(),
            connections: Arc::default(),
        };
        let (name, runs) = (name.to_string(), runs.clone());
        let (is_holding, has_gone) = (backend.is_holding.clone(), backend.has_gone.clone());
        let connections = backend.connections.clone();
        std::thread::spawn(move || {
            while !has_gone.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let handle = stream.try_clone().expect("a second handle");
                let mut open = connections.lock().expect("the lock is not poisoned");
                open.push(handle);
                drop(open);
                let (name, runs, is_holding) = (name.clone(), runs.clone(), is_holding.clone());
                std::thread::spawn(move || {
                    respond_to_commands(stream, |command| {
                        let id = String::from_utf8_lossy(&command[2]).into_owned();
                        let number = u64::from_str_radix(&id, 16).unwrap_or_default();
                        let mut log = runs.lock().expect("the lock is not poisoned");
                        log.push((name.clone(), number));
                        drop(log);
                        while is_holding.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_millis(1));
                        }
                        format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len())
                    });
                });
            }
        });
        backend
    }

    /// Stops listening; its connections stay open.
    fn stop_listening(&self) {
        self.has_gone.store(true, Ordering::Relaxed);
    }

    /// Closes its connections, without a reply to what it holds.
    fn close_connections(&self) {
        let open = self.connections.lock().expect("the lock is not poisoned");
        for stream in open.iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(open);
        self.is_holding.store(false, Ordering::Relaxed);
    }
}

fn keyed_command(id: u64) -> String {
    let fields = format!("c=order,t=team,d=3000,k={id:x},units=1,spread=8,first=0");
    format!(
        "*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n0000000000000007\r\n$16\r\n{id:016x}\r\n${}\r\n{fields}\r\n$4\r\nbody\r\n",
        fields.len()
    )
}

/// Waits until a request has run; returns the name of the first backend that ran it.
fn wait_for_run(runs: &Runs, id: u64) -> String {
    let begun = Instant::now();
    loop {
        let log = runs.lock().expect("the lock is not poisoned");
        if let Some((name, _)) = log.iter().find(|(_, run)| *run == id) {
            return name.clone();
        }
        drop(log);
        assert!(begun.elapsed() < TIMEOUT, "request {id} never ran");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn read_reply(client: &mut TcpStream) -> String {
    let mut reply = [0; 256];
    let length = client.read(&mut reply).expect("a reply");
    String::from_utf8_lossy(&reply[..length]).into_owned()
}

/// Guards against a new backend that is taken for the one that listened at its address before: a keyed request whose attempt was cut off was
/// sent again there, where its key is not known, and ran twice.
#[test]
fn backend_is_replaced_at_its_address_then_no_keyed_request_runs_again_there() {
    let (runs, list) = (Runs::default(), EndpointList::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut current = Backend::start("s-0", any, &runs);
    list.publish(&[("s-0", current.address, 0)]);
    let gateway = Gateway::start_with(
        1,
        start_changing_discovery(&list),
        start_counter(),
        SMALL_GRANT,
    );
    for replacement in 1..=REPLACEMENTS {
        let mut client = TcpStream::connect(gateway.listen).expect("a connection");
        client.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        current.is_holding.store(true, Ordering::Relaxed);
        let keyed = next_id();
        client
            .write_all(keyed_command(keyed).as_bytes())
            .expect("the request is sent");
        let first = wait_for_run(&runs, keyed);
        current.stop_listening();
        let name = format!("s-{replacement}");
        let new = Backend::start(&name, current.address, &runs);
        list.publish(&[(&name, new.address, replacement)]);
        std::thread::sleep(LIST_TIME);
        current.close_connections();
        let reply = read_reply(&mut client);
        assert!(reply.starts_with('-'), "{reply:?}");
        let read = next_id();
        let command = read_command(8, read, "team");
        client
            .write_all(command.as_bytes())
            .expect("the request is sent");
        read_reply(&mut client);
        let log = runs.lock().expect("the lock is not poisoned").clone();
        let names_of = |id: u64| -> Vec<String> {
            let of_id = log.iter().filter(|(_, run)| *run == id);
            of_id.map(|(name, _)| name.clone()).collect()
        };
        assert_eq!(names_of(keyed), [first], "replacement {replacement}");
        assert_eq!(names_of(read), [name], "replacement {replacement}");
        current = new;
    }
}
