//! Relay processes of a fleet, between gateways and servers or counter, and between clients and gateways. Each site dials
//! addresses of its own, so that faults can be injected for each pair of sites.

use crate::common::process::{Process, Program};
use crate::common::script::CLIENTS_SITE;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use std::net::SocketAddr;
use std::path::Path;

/// A relay process and its addresses.
pub struct RelayProcess {
    _process: Process,
    control: SocketAddr,
    /// For each dialling site, the relay's address of each target, in the order of the targets.
    addresses: Vec<Vec<SocketAddr>>,
}

impl RelayProcess {
    /// Starts the relay from gateways to the servers and the counter. `servers` has the zone and address of each server.
    pub fn for_gateways(
        program: &Program,
        day: &Day,
        dir: &Path,
        servers: &[(usize, SocketAddr)],
        counter: SocketAddr,
    ) -> anyhow::Result<RelayProcess> {
        let counter_site = if day.counter_zone.is_empty() {
            "counter"
        } else {
            &day.counter_zone
        };
        let servers = servers
            .iter()
            .map(|(zone, address)| (day.zones[*zone].name.as_str(), *address));
        let targets: Vec<(&str, SocketAddr)> = servers.chain([(counter_site, counter)]).collect();
        let sites: Vec<&str> = day.zones.iter().map(|z| z.name.as_str()).collect();
        RelayProcess::start(program, day, &dir.join("links.log"), &sites, &targets)
    }

    /// Starts the relay from clients to gateways.
    pub fn for_clients(
        program: &Program,
        day: &Day,
        dir: &Path,
        gateways: &[SocketAddr],
    ) -> anyhow::Result<RelayProcess> {
        let zone = |i: usize| day.zones[i % day.zones.len()].name.as_str();
        let targets: Vec<(&str, SocketAddr)> = gateways
            .iter()
            .enumerate()
            .map(|(i, address)| (zone(i), *address))
            .collect();
        RelayProcess::start(
            program,
            day,
            &dir.join("client-links.log"),
            &[CLIENTS_SITE],
            &targets,
        )
    }

    fn start(
        program: &Program,
        day: &Day,
        stderr_file: &Path,
        sites: &[&str],
        targets: &[(&str, SocketAddr)],
    ) -> anyhow::Result<RelayProcess> {
        let mut args = vec![
            "links".to_string(),
            "--seed".to_string(),
            day.seed.to_string(),
        ];
        for from in sites {
            for (to, address) in targets {
                args.extend(["--link".to_string(), format!("{from},{to},tcp,{address}")]);
            }
        }
        let process = Process::start(program, &args, stderr_file)?;
        let addresses = process
            .addresses("links")?
            .chunks(targets.len())
            .map(<[SocketAddr]>::to_vec)
            .collect();
        Ok(RelayProcess {
            control: process.address("control")?,
            _process: process,
            addresses,
        })
    }

    /// The control address of the relay.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }
    /// The address that gateways of a zone dial for a server, or that clients (zone 0) dial for a gateway.
    pub fn target_address(&self, zone: usize, target: usize) -> SocketAddr {
        self.addresses[zone][target]
    }
    /// The address that gateways of a zone dial for the counter.
    pub fn counter_address(&self, zone: usize) -> SocketAddr {
        self.addresses[zone][self.addresses[zone].len() - 1]
    }
}
