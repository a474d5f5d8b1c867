//! Applies the actions of a script to the processes of a fleet.

use super::{addresses_of, Fleet, Gateway};
use crate::common::control;
use crate::common::process::Process;
use crate::common::script::{is_for_client_links, ListStatus, ScriptAction};
use anyhow::Context;
use rustix::process::Signal;
use std::net::SocketAddr;

/// The signal that stalls a process, or resumes it.
fn stall_signal(is_stalled: bool) -> Signal {
    if is_stalled {
        Signal::STOP
    } else {
        Signal::CONT
    }
}

fn send_signal(process: Option<&Process>, signal: Signal) {
    if let Some(process) = process {
        process.signal(signal);
    }
}

impl Fleet {
    /// Applies an action of the script. `load_control` is the control address of the load.
    pub fn apply(
        &mut self,
        action: &ScriptAction,
        load_control: Option<SocketAddr>,
    ) -> anyhow::Result<()> {
        self.note("act", format!("{action:?}"));
        match action {
            ScriptAction::Counter(query) => self.counter.inject_fault(query)?,
            ScriptAction::KillCounter => self.counter.kill(),
            ScriptAction::StartCounter => self.counter.start_process()?,
            ScriptAction::Cell(zone, query) => self.set_cell(*zone, query)?,
            ScriptAction::Server(server, query) => self.set_server(*server, query)?,
            ScriptAction::KillCell(zone) => self.cells[*zone].process = None,
            ScriptAction::StartCell(zone) => self.start_cell(*zone)?,
            ScriptAction::ListCell(zone, is_listed) => self.list_cell(*zone, *is_listed)?,
            ScriptAction::List(server, status) => self.list_server(*server, *status)?,
            ScriptAction::KillGateway(gateway) => self.kill_gateway(*gateway),
            ScriptAction::StartGateway(gateway) => self.start_gateway(*gateway)?,
            ScriptAction::Stall(gateway, is_stalled) => self.stall_gateway(*gateway, *is_stalled),
            ScriptAction::StallCell(zone, is_stalled) => self.stall_cell(*zone, *is_stalled),
            ScriptAction::Links(command) => self.set_links(command)?,
            ScriptAction::Operator(command, zone) => self.override_site(command, *zone)?,
            ScriptAction::Load(query) => self.set_load(query, load_control)?,
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
        let index = servers.position(|port| port.address() == address);
        self.set_cell(zone, &format!("server={}&{query}", index.unwrap_or(0)))
    }

    fn start_cell(&mut self, zone: usize) -> anyhow::Result<()> {
        let cell = &self.cells[zone];
        let addresses = addresses_of(&cell.servers);
        let process =
            self.start_cell_process(zone, cell.starts, &addresses, cell.control.address())?;
        self.cells[zone].process = Some(process);
        self.cells[zone].starts += 1;
        Ok(())
    }

    fn list_cell(&mut self, zone: usize, is_listed: bool) -> anyhow::Result<()> {
        let status = if is_listed {
            ListStatus::Fresh
        } else {
            ListStatus::Gone
        };
        for server in 0..self.list.len() {
            if self.list[server].zone == zone {
                self.set_list_status(server, status);
            }
        }
        self.write_lists()
    }

    fn list_server(&mut self, server: usize, status: ListStatus) -> anyhow::Result<()> {
        self.set_list_status(server, status);
        self.write_lists()
    }

    fn set_list_status(&mut self, server: usize, status: ListStatus) {
        let now_ms = self.clock.now() / 1_000;
        let entry = &mut self.list[server];
        if status == ListStatus::Fresh {
            entry.started_ms = Some(now_ms);
        }
        entry.status = if status == ListStatus::Fresh {
            ListStatus::Healthy
        } else {
            status
        };
        let what = if entry.status == ListStatus::Healthy {
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
        let Gateway { listen, admin, .. } = &self.gateways[gateway];
        let process = self.start_gateway_process(gateway, listen.address(), admin.address())?;
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
        send_signal(process, stall_signal(is_stalled));
    }

    fn stall_cell(&mut self, zone: usize, is_stalled: bool) {
        let process = self.cells[zone].process.as_ref();
        send_signal(process, stall_signal(is_stalled));
        self.note_possible_delay(is_stalled, zone);
    }

    fn set_links(&mut self, command: &str) -> anyhow::Result<()> {
        let is_healed = command.contains("cut=0") || command.contains("heal=1");
        self.note_possible_delay(!is_healed, command);
        let relay = if is_for_client_links(command) {
            &self.client_links
        } else {
            &self.gateway_links
        };
        let relay = relay.as_ref();
        let relay = relay.context("expected 'links: true' in the day")?;
        control::get(relay.control_address(), &format!("/set?{command}"))?;
        Ok(())
    }

    /// Logs for the audit that data already sent may arrive late from now on, or no longer.
    fn note_possible_delay(&mut self, is_delayed: bool, target: impl ToString) {
        let what = if is_delayed { "held_up" } else { "let_through" };
        self.note(what, target);
    }

    fn override_site(&mut self, command: &str, zone: usize) -> anyhow::Result<()> {
        let name = self.day.zones[zone].name.clone();
        for gateway in self.gateways.iter().filter(|g| g.process.is_some()) {
            let admin = gateway.admin.address();
            control::get(admin, &format!("/sites/{command}/{name}"))?;
        }
        let what = if command == "let-back" {
            "site_let_back"
        } else {
            "site_held"
        };
        self.note(what, &name);
        Ok(())
    }

    fn set_load(&mut self, query: &str, control: Option<SocketAddr>) -> anyhow::Result<()> {
        if query.contains("reconnect") {
            self.note("clients_reconnect", "all");
        }
        let address = control.context("this load takes no commands")?;
        control::get(address, &format!("/set?{query}"))?;
        Ok(())
    }
}
