//! Acts of a script, as they befall the parts of a fleet.

use super::{addresses_of, Fleet, GatewayPart};
use crate::parts::control;
use crate::parts::process::Process;
use crate::parts::script::{of_clients, Act, Listed};
use anyhow::Context;
use rustix::process::Signal;
use std::net::SocketAddr;

/// The signal that stops a process, or has it go on.
fn stall_signal(is_stalled: bool) -> Signal {
    if is_stalled {
        Signal::STOP
    } else {
        Signal::CONT
    }
}

fn signal(process: Option<&Process>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

impl Fleet {
    /// Carries out one act of the script. `load`: where the load takes commands.
    pub fn act(&mut self, act: &Act, load: Option<SocketAddr>) -> anyhow::Result<()> {
        self.note("act", format!("{act:?}"));
        match act {
            Act::Counter(query) => self.counter.fault(query)?,
            Act::KillCounter => self.counter.kill(),
            Act::StartCounter => self.counter.begin()?,
            Act::Cell(zone, query) => self.set_cell(*zone, query)?,
            Act::Server(server, query) => self.set_server(*server, query)?,
            Act::KillCell(zone) => self.cells[*zone].process = None,
            Act::StartCell(zone) => self.start_cell(*zone)?,
            Act::ListCell(zone, is_listed) => self.list_cell(*zone, *is_listed)?,
            Act::List(server, listed) => self.list_server(*server, *listed)?,
            Act::KillGateway(gateway) => self.kill_gateway(*gateway),
            Act::StartGateway(gateway) => self.start_gateway(*gateway)?,
            Act::Stall(gateway, is_stalled) => self.stall_gateway(*gateway, *is_stalled),
            Act::StallCell(zone, is_stalled) => self.stall_cell(*zone, *is_stalled),
            Act::Links(word) => self.set_links(word)?,
            Act::Operator(word, zone) => self.override_site(word, *zone)?,
            Act::Load(query) => self.set_load(query, load)?,
        }
        Ok(())
    }

    fn set_cell(&self, zone: usize, query: &str) -> anyhow::Result<()> {
        let control = self.cells[zone].control.address();
        control::get(control, &format!("/set?{query}"))?;
        Ok(())
    }

    fn set_server(&self, server: usize, query: &str) -> anyhow::Result<()> {
        let zone = self.list[server].zone;
        let address = self.list[server].address;
        let mut servers = self.cells[zone].servers.iter();
        let place = servers.position(|port| port.address() == address);
        self.set_cell(zone, &format!("server={}&{query}", place.unwrap_or(0)))
    }

    fn start_cell(&mut self, zone: usize) -> anyhow::Result<()> {
        let cell = &self.cells[zone];
        let addresses = addresses_of(&cell.servers);
        let process = self.cell(zone, cell.lives, &addresses, cell.control.address())?;
        self.cells[zone].process = Some(process);
        self.cells[zone].lives += 1;
        Ok(())
    }

    fn list_cell(&mut self, zone: usize, is_listed: bool) -> anyhow::Result<()> {
        let listed = if is_listed {
            Listed::Fresh
        } else {
            Listed::Gone
        };
        for server in 0..self.list.len() {
            if self.list[server].zone == zone {
                self.set_listed(server, listed);
            }
        }
        self.write_lists()
    }

    fn list_server(&mut self, server: usize, listed: Listed) -> anyhow::Result<()> {
        self.set_listed(server, listed);
        self.write_lists()
    }

    fn set_listed(&mut self, server: usize, listed: Listed) {
        let now_ms = self.clock.now() / 1_000;
        let entry = &mut self.list[server];
        if listed == Listed::Fresh {
            entry.started_ms = Some(now_ms);
        }
        entry.listed = if listed == Listed::Fresh {
            Listed::Healthy
        } else {
            listed
        };
        let what = if entry.listed == Listed::Healthy {
            "listed"
        } else {
            "unlisted"
        };
        let address = entry.address;
        self.note(what, address);
    }

    fn kill_gateway(&mut self, gateway: usize) {
        self.note("gateway_killed", gateway);
        self.gateways[gateway].process = None;
    }

    fn start_gateway(&mut self, gateway: usize) -> anyhow::Result<()> {
        let GatewayPart { listen, admin, .. } = &self.gateways[gateway];
        let process = self.gateway(gateway, listen.address(), admin.address())?;
        self.gateways[gateway].process = Some(process);
        self.note("gateway_started", gateway);
        Ok(())
    }

    fn stall_gateway(&mut self, gateway: usize, is_stalled: bool) {
        let what = if is_stalled {
            "gateway_stalled"
        } else {
            "gateway_resumed"
        };
        self.note(what, gateway);
        let process = self.gateways[gateway].process.as_ref();
        signal(process, stall_signal(is_stalled));
    }

    fn stall_cell(&mut self, zone: usize, is_stalled: bool) {
        let process = self.cells[zone].process.as_ref();
        signal(process, stall_signal(is_stalled));
        self.note_held_up(is_stalled, zone);
    }

    fn set_links(&mut self, word: &str) -> anyhow::Result<()> {
        let is_over = word.contains("cut=0") || word.contains("heal=1");
        self.note_held_up(!is_over, word);
        let relay = if of_clients(word) {
            &self.before
        } else {
            &self.between
        };
        let relay = relay.as_ref();
        let relay = relay.context("expected 'links: true' in the day")?;
        control::get(relay.control(), &format!("/set?{word}"))?;
        Ok(())
    }

    /// Notes for the audit that what was sent may arrive later, or that this is over.
    fn note_held_up(&mut self, is_held_up: bool, target: impl ToString) {
        let what = if is_held_up { "held_up" } else { "let_through" };
        self.note(what, target);
    }

    fn override_site(&mut self, word: &str, zone: usize) -> anyhow::Result<()> {
        let name = self.day.zones[zone].name.clone();
        for gateway in self.gateways.iter().filter(|g| g.process.is_some()) {
            let admin = gateway.admin.address();
            control::get(admin, &format!("/sites/{word}/{name}"))?;
        }
        let what = if word == "let-back" {
            "site_let_back"
        } else {
            "site_held"
        };
        self.note(what, &name);
        Ok(())
    }

    fn set_load(&mut self, query: &str, load: Option<SocketAddr>) -> anyhow::Result<()> {
        if query.contains("reconnect") {
            self.note("clients_reconnect", "all");
        }
        let load = load.context("this load takes no commands")?;
        control::get(load, &format!("/set?{query}"))?;
        Ok(())
    }
}
