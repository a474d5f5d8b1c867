//! Runs all partitions of a process, each on its own thread.

use super::{Server, ServerError};
use crate::settings::Settings;
use chalkdeck_net::signals::Signals;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// Starts all partitions, prints their addresses and waits until all have stopped. If a partition ends with an error, the
/// others continue; the error is returned at the end.
pub fn run(settings: &Settings, signals: &Signals) -> Result<(), ServerError> {
    let mut servers = Vec::new();
    for partition in &settings.partitions {
        servers.push(Server::start(partition, settings)?);
    }
    let grpc = join_addresses(servers.iter().map(Server::grpc_address));
    let admin = join_addresses(servers.iter().filter_map(Server::admin_address));
    println!("ready grpc={grpc} admin={admin}");
    let threads: Vec<_> = servers
        .into_iter()
        .map(|server| spawn(server, signals.clone()))
        .collect();
    let mut outcome = Ok(());
    for thread in threads {
        let result = thread.join().unwrap_or(Err(ServerError::PartitionPanicked));
        if result.is_err() {
            outcome = result;
        }
    }
    outcome
}

fn join_addresses(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let texts: Vec<String> = addresses.map(|address| address.to_string()).collect();
    texts.join(",")
}

fn spawn(server: Server, signals: Signals) -> JoinHandle<Result<(), ServerError>> {
    std::thread::spawn(move || {
        server
            .run(&signals)
            .inspect_err(|error| tracing::error!(%error, "counter part stopped"))
    })
}
