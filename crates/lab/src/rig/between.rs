//! The relay of a fleet: gateways reach servers and counter through it, each site by addresses of its own.

use crate::parts::process::{Process, Program};
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use std::net::SocketAddr;
use std::path::Path;

/// The relay's process and its addresses.
pub struct Between {
    _process: Process,
    control: SocketAddr,
    /// By site of the gateway: one for each server, then the counter's.
    addresses: Vec<Vec<SocketAddr>>,
}

impl Between {
    /// Starts it. `servers`: zone and address of each.
    pub fn start(
        program: &Program,
        day: &Day,
        dir: &Path,
        servers: &[(usize, SocketAddr)],
        counter: SocketAddr,
    ) -> anyhow::Result<Between> {
        let mut args = vec!["links".to_string(), "--seed".to_string(), day.seed.to_string()];
        let place = if day.counter_zone.is_empty() { "counter" } else { &day.counter_zone };
        for from in &day.zones {
            let targets = servers.iter().map(|(zone, at)| (day.zones[*zone].name.as_str(), at));
            for (to, at) in targets.chain([(place, &counter)]) {
                args.extend(["--link".to_string(), format!("{},{to},tcp,{at}", from.name)]);
            }
        }
        let process = Process::start(program, &args, &dir.join("links.log"))?;
        let each = servers.len() + 1;
        let addresses = process.addresses("links")?.chunks(each).map(<[SocketAddr]>::to_vec).collect();
        Ok(Between { control: process.address("control")?, _process: process, addresses })
    }

    /// Where it takes words.
    pub fn control(&self) -> SocketAddr {
        self.control
    }
    /// Where gateways of a zone find a server.
    pub fn server(&self, zone: usize, server: usize) -> SocketAddr {
        self.addresses[zone][server]
    }
    /// Where gateways of a zone find the counter.
    pub fn counter(&self, zone: usize) -> SocketAddr {
        self.addresses[zone][self.addresses[zone].len() - 1]
    }
}
