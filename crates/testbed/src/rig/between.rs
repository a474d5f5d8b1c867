//! The relays of a fleet: gateways reach servers and counter, and clients reach gateways, each site by addresses of its own.

use crate::common::process::{Process, Program};
use crate::common::script::CLIENTS_SITE;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use std::net::SocketAddr;
use std::path::Path;

/// A relay's process and its addresses.
pub struct Between {
    _process: Process,
    control: SocketAddr,
    /// By site that dials: one for each target, in their order.
    addresses: Vec<Vec<SocketAddr>>,
}

impl Between {
    /// Gateways to servers, then to the counter. `servers`: zone and address of each.
    pub fn start(
        program: &Program,
        day: &Day,
        dir: &Path,
        servers: &[(usize, SocketAddr)],
        counter: SocketAddr,
    ) -> anyhow::Result<Between> {
        let place = if day.counter_zone.is_empty() {
            "counter"
        } else {
            &day.counter_zone
        };
        let servers = servers
            .iter()
            .map(|(zone, at)| (day.zones[*zone].name.as_str(), *at));
        let targets: Vec<(&str, SocketAddr)> = servers.chain([(place, counter)]).collect();
        let from: Vec<&str> = day.zones.iter().map(|z| z.name.as_str()).collect();
        Between::of(program, day, &dir.join("links.log"), &from, &targets)
    }

    /// Clients to gateways.
    pub fn clients(
        program: &Program,
        day: &Day,
        dir: &Path,
        gateways: &[SocketAddr],
    ) -> anyhow::Result<Between> {
        let zone = |i: usize| day.zones[i % day.zones.len()].name.as_str();
        let targets: Vec<(&str, SocketAddr)> = gateways
            .iter()
            .enumerate()
            .map(|(i, at)| (zone(i), *at))
            .collect();
        Between::of(
            program,
            day,
            &dir.join("client-links.log"),
            &[CLIENTS_SITE],
            &targets,
        )
    }

    fn of(
        program: &Program,
        day: &Day,
        errors: &Path,
        from: &[&str],
        targets: &[(&str, SocketAddr)],
    ) -> anyhow::Result<Between> {
        let mut args = vec![
            "links".to_string(),
            "--seed".to_string(),
            day.seed.to_string(),
        ];
        for from in from {
            for (to, at) in targets {
                args.extend(["--link".to_string(), format!("{from},{to},tcp,{at}")]);
            }
        }
        let process = Process::start(program, &args, errors)?;
        let addresses = process
            .addresses("links")?
            .chunks(targets.len())
            .map(<[SocketAddr]>::to_vec)
            .collect();
        Ok(Between {
            control: process.address("control")?,
            _process: process,
            addresses,
        })
    }

    /// Where it takes words.
    pub fn control(&self) -> SocketAddr {
        self.control
    }
    /// Where gateways of a zone find a server; where clients (zone 0) find a gateway.
    pub fn target(&self, zone: usize, place: usize) -> SocketAddr {
        self.addresses[zone][place]
    }
    /// Where gateways of a zone find the counter.
    pub fn counter(&self, zone: usize) -> SocketAddr {
        self.addresses[zone][self.addresses[zone].len() - 1]
    }
}
