//! Acts of a script, as they befall the parts of a fleet.

use super::{addresses_of, Fleet, GatewayPart};
use crate::common::control;
use crate::common::process::Process;
use crate::common::script::{is_for_client_links, ListStatus, ScriptAction};
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
    pub fn act(&mut self, act: &ScriptAction, load: Option<SocketAddr>) -> anyhow::Result<()> {
        self.note("act", format!("{act:?}"));
        match act {
            ScriptAction::Counter(query) => self.counter.fault(query)?,
            ScriptAction::KillCounter => self.counter.kill(),
            ScriptAction::StartCounter => self.counter.begin()?,
            ScriptAction::Cell(zone, query) => self.set_cell(*zone, query)?,
            ScriptAction::Server(server, query) => self.set_server(*server, query)?,
            ScriptAction::KillCell(zone) => self.cells[*zone].process = None,
            ScriptAction::StartCell(zone) => self.start_cell(*zone)?,
            ScriptAction::ListCell(zone, is_listed) => self.list_cell(*zone, *is_listed)?,
            ScriptAction::List(server, listed) => self.list_server(*server, *listed)?,
            ScriptAction::KillGateway(gateway) => self.kill_gateway(*gateway),
            ScriptAction::StartGateway(gateway) => self.start_gateway(*gateway)?,
            ScriptAction::Stall(gateway, is_stalled) => self.stall_gateway(*gateway, *is_stalled),
            ScriptAction::StallCell(zone, is_stalled) => self.stall_cell(*zone, *is_stalled),
            ScriptAction::Links(word) => self.set_links(word)?,
            ScriptAction::Operator(word, zone) => self.override_site(word, *zone)?,
            ScriptAction::Load(query) => self.set_load(query, load)?,
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
            ListStatus::Fresh
        } else {
            ListStatus::Gone
        };
        for server in 0..self.list.len() {
            if self.list[server].zone == zone {
                self.set_listed(server, listed);
            }
        }
        self.write_lists()
    }

    fn list_server(&mut self, server: usize, listed: ListStatus) -> anyhow::Result<()> {
        self.set_listed(server, listed);
        self.write_lists()
    }

    fn set_listed(&mut self, server: usize, listed: ListStatus) {
        let now_ms = self.clock.now() / 1_000;
        let entry = &mut self.list[server];
        if listed == ListStatus::Fresh {
            entry.started_ms = Some(now_ms);
        }
        entry.listed = if listed == ListStatus::Fresh {
            ListStatus::Healthy
        } else {
            listed
        };
        let what = if entry.listed == ListStatus::Healthy {
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
        let relay = if is_for_client_links(word) {
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
