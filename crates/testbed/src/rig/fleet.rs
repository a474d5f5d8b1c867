//! The processes of a day: gateways, counter, cells (the servers of a zone) and load, and the actions on them.

use crate::common::event_log::{Entry, EventLog};
use crate::common::process::{Process, Program};
use crate::common::script::{ListStatus, DAY_MESSAGE};
use crate::rig::coordinator_process::CoordinatorProcess;
use crate::rig::counter_process::CounterProcess;
use crate::rig::relay_process::RelayProcess;
use anyhow::Context;
use chalkdeck_net::clock::{monotonic_micros, Clock};
use chalkdeck_net::ReservedPort;
use chalkdeck_proto::chalkdeck::config::v1 as config;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

mod actions;

/// The servers of one zone, which share a process. `None` as the process: it isn't running.
///
/// The ports of all processes are reserved for the whole run: while a process is down, another process of the machine could
/// otherwise bind one of its ports, and the restart would fail.
struct Cell {
    process: Option<Process>,
    servers: Vec<ReservedPort>,
    control: ReservedPort,
    /// How often the process has been started; each start has an event log of its own.
    starts: u32,
}

struct Gateway {
    process: Option<Process>,
    listen: ReservedPort,
    admin: ReservedPort,
}

/// A server and its state in the endpoint list.
struct ListedServer {
    address: SocketAddr,
    zone: usize,
    status: ListStatus,
    started_ms: Option<u64>,
}

/// The processes of a day.
pub struct Fleet {
    program: Program,
    day: Day,
    dir: PathBuf,
    day_file: PathBuf,
    clock: Clock,
    counter: CounterProcess,
    coordinator: Option<CoordinatorProcess>,
    /// Relays the connections of gateways to servers and counter, if the day has links.
    gateway_links: Option<RelayProcess>,
    /// Relays the connections of clients to gateways, if the day has links.
    client_links: Option<RelayProcess>,
    cells: Vec<Cell>,
    gateways: Vec<Gateway>,
    list: Vec<ListedServer>,
    event_log: EventLog,
    /// A fault to inject into the gateways' own code.
    fault: Option<String>,
}

/// The entry of a server in the endpoint list. `address` is what gateways dial: the server's own address, or a relay's.
fn endpoint_entry(server: &ListedServer, address: SocketAddr, zone: &str) -> String {
    let health = if server.status == ListStatus::Draining {
        "DRAINING"
    } else {
        "HEALTHY"
    };
    let started = server.started_ms.map_or(String::new(), |ms| {
        format!("fields {{ key: \"started_ms\" value {{ number_value: {ms} }} }}")
    });
    format!(
        "  lb_endpoints {{\n    endpoint {{ address {{ socket_address {{ address: \"{}\" port_value: {} }} }} }}\n    \
         health_status: {health}\n    metadata {{ filter_metadata {{ key: \"chalkdeck\" value {{\n      \
         fields {{ key: \"cell\" value {{ string_value: \"{zone}\" }} }} {started}\n      \
         fields {{ key: \"server\" value {{ string_value: \"{}\" }} }}\n    }} }} }}\n  }}\n",
        address.ip(),
        address.port(),
        server.address
    )
}

/// The loopback address with port 0, so that the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reserves the port of a process for the whole run.
pub(crate) fn reserve_port(address: SocketAddr) -> anyhow::Result<ReservedPort> {
    ReservedPort::reserve(address).with_context(|| format!("expected to reserve {address}"))
}

fn addresses_of(ports: &[ReservedPort]) -> Vec<SocketAddr> {
    ports.iter().map(ReservedPort::address).collect()
}

impl Fleet {
    /// Starts all processes but the load. Creates `dir`, which must hold no logs of an earlier run. `listen` is the address of
    /// the first gateway.
    pub fn start(
        program: Program,
        day: Day,
        dir: &Path,
        listen: SocketAddr,
        fault: Option<String>,
    ) -> anyhow::Result<Fleet> {
        std::fs::create_dir_all(dir)?;
        let day_file = dir.join("day.txtpb");
        let day_text =
            text::print(DAY_MESSAGE, &day).context("expected the day to have a text form")?;
        std::fs::write(&day_file, day_text)?;
        let event_log = EventLog::create(Some(&dir.join("run.jsonl")))?;
        let counter = CounterProcess::start(&program, dir, day.own_counter)?;
        let coordinator = day
            .own_keeper
            .then(|| CoordinatorProcess::start(&program, dir))
            .transpose()?;
        let (cells, gateways, list) = (Vec::new(), Vec::new(), Vec::new());
        let clock = Clock::start();
        let dir = dir.to_path_buf();
        let mut fleet = Fleet {
            program,
            day,
            dir,
            day_file,
            clock,
            counter,
            coordinator,
            gateway_links: None,
            client_links: None,
            cells,
            gateways,
            list,
            event_log,
            fault,
        };
        for zone in 0..fleet.day.zones.len() {
            fleet.add_cell(zone)?;
        }
        let servers: Vec<String> = fleet
            .list
            .iter()
            .map(|s| format!("{} {}", s.address, s.zone))
            .collect();
        servers.into_iter().for_each(|s| fleet.note("server", s));
        if fleet.day.links {
            let servers: Vec<(usize, SocketAddr)> =
                fleet.list.iter().map(|s| (s.zone, s.address)).collect();
            let counter = fleet.counter.address();
            fleet.gateway_links = Some(RelayProcess::for_gateways(
                &fleet.program,
                &fleet.day,
                &fleet.dir,
                &servers,
                counter,
            )?);
        }
        fleet.write_lists()?;
        for i in 0..fleet.day.gateways as usize {
            let listen = reserve_port(if i == 0 { listen } else { any_port() })?;
            let admin = reserve_port(any_port())?;
            let process = fleet.start_gateway_process(i, listen.address(), admin.address())?;
            fleet.gateways.push(Gateway {
                process: Some(process),
                listen,
                admin,
            });
        }
        if fleet.day.links {
            let gateways = fleet.gateway_addresses();
            fleet.client_links = Some(RelayProcess::for_clients(
                &fleet.program,
                &fleet.day,
                &fleet.dir,
                &gateways,
            )?);
        }
        Ok(fleet)
    }

    /// The address of the coordinator, if there is one.
    pub fn coordinator_address(&self) -> Option<SocketAddr> {
        self.coordinator.as_ref().map(CoordinatorProcess::address)
    }
    /// Whether the gateways have site failover on, with the zones as sites.
    pub fn watches_sites(&self) -> bool {
        self.day
            .gateway
            .as_ref()
            .and_then(|g| g.sites.as_ref())
            .is_some_and(|s| s.on)
    }
    /// The addresses at which clients reach the gateways: the gateways' own, or those of the clients' links.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        let address = |(i, g): (usize, &Gateway)| {
            let direct = g.listen.address();
            self.client_links
                .as_ref()
                .map_or(direct, |relay| relay.target_address(0, i))
        };
        self.gateways.iter().enumerate().map(address).collect()
    }
    pub fn admin_address(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].admin.address()
    }
    /// The process of a gateway; `None` if it isn't running.
    pub fn gateway_process(&self, gateway: usize) -> Option<&Process> {
        self.gateways[gateway].process.as_ref()
    }
    pub fn server_addresses(&self) -> Vec<SocketAddr> {
        self.list.iter().map(|s| s.address).collect()
    }

    /// The counter's own address; with links, gateways dial those of a relay.
    pub fn counter_address(&self) -> SocketAddr {
        self.counter.address()
    }

    /// Starts the servers of a zone and adds them to the endpoint list.
    fn add_cell(&mut self, zone: usize) -> anyhow::Result<()> {
        let count = self.day.zones[zone].servers as usize;
        let servers = (0..count)
            .map(|_| reserve_port(any_port()))
            .collect::<anyhow::Result<Vec<ReservedPort>>>()?;
        let control = reserve_port(any_port())?;
        let addresses = addresses_of(&servers);
        let process = self.start_cell_process(zone, 0, &addresses, control.address())?;
        for address in addresses {
            self.list.push(ListedServer {
                address,
                zone,
                status: ListStatus::Healthy,
                started_ms: None,
            });
        }
        self.cells.push(Cell {
            process: Some(process),
            servers,
            control,
            starts: 1,
        });
        Ok(())
    }

    /// Starts the process of a zone's servers. `start` is the number of earlier starts.
    fn start_cell_process(
        &self,
        zone: usize,
        start: u32,
        listen: &[SocketAddr],
        control: SocketAddr,
    ) -> anyhow::Result<Process> {
        let join = |a: &[SocketAddr]| {
            a.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(",")
        };
        let log = self.dir.join(format!("farm-{zone}-{start}.jsonl"));
        let mut args = vec![
            "farm".to_string(),
            "--day".to_string(),
            self.day_file.display().to_string(),
            "--listen".to_string(),
            join(listen),
            "--control".to_string(),
            control.to_string(),
            "--log".to_string(),
            log.display().to_string(),
        ];
        // The first servers count as warmed up; restarted ones are cold.
        if start == 0 {
            args.push("--warm".to_string());
        }
        Process::start(
            &self.program,
            &args,
            &self.dir.join(format!("farm-{zone}.log")),
        )
    }

    /// Writes the settings file of a gateway and starts its process.
    fn start_gateway_process(
        &self,
        number: usize,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> anyhow::Result<Process> {
        let mut settings = self.day.gateway.clone().unwrap_or_default();
        settings.listen = listen.to_string();
        settings.admin = admin.to_string();
        settings.fleet = self.day.gateways;
        settings.number = number as u32;
        settings
            .sites
            .iter_mut()
            .for_each(|s| s.words_file = format!("sites-{number}.txtpb"));
        settings.zone = self.day.zones[number % self.day.zones.len()].name.clone();
        match &self.coordinator {
            Some(coordinator) => {
                let keepers = settings
                    .keepers
                    .get_or_insert_with(config::Keepers::default);
                keepers.addresses = vec![coordinator.address().to_string()];
            }
            None => settings.keepers = None,
        }
        let counter = settings
            .counter
            .get_or_insert_with(config::Counter::default);
        let zone = number % self.day.zones.len();
        let counter_address = self
            .gateway_links
            .as_ref()
            .map_or(self.counter.address(), |relay| relay.counter_address(zone));
        counter.address = counter_address.to_string();
        let endpoints = settings
            .endpoints
            .get_or_insert_with(config::Endpoints::default);
        endpoints.file = self.list_file_name(zone);
        let customers = settings
            .customers
            .get_or_insert_with(config::Customers::default);
        for group in self.day.load.iter().flat_map(|l| &l.customers) {
            for i in 0..group.count {
                customers
                    .plan_of
                    .insert(format!("{}-{i}", group.plan), group.plan.clone());
            }
        }
        let file = self.dir.join(format!("gateway-{number}.txtpb"));
        let text = text::print(chalkdeck_grpc_gateway::settings::MESSAGE, &settings)
            .context("expected a text form")?;
        std::fs::write(&file, text)?;
        let mut args = vec!["serve".to_string(), file.display().to_string()];
        if let Some(fault) = &self.fault {
            args.extend(["--fault".to_string(), fault.clone()]);
        }
        Process::start(
            &self.program,
            &args,
            &self.dir.join(format!("gateway-{number}.log")),
        )
    }

    /// The file of the endpoint list for the gateways of a zone. With links, each zone has its own list, as its gateways dial
    /// relay addresses of their own; otherwise, all zones share one list.
    fn list_file_name(&self, zone: usize) -> String {
        self.gateway_links
            .as_ref()
            .map_or("endpoints.txtpb".to_string(), |_| {
                format!("endpoints-{zone}.txtpb")
            })
    }

    fn write_lists(&self) -> anyhow::Result<()> {
        let lists = if self.gateway_links.is_some() {
            self.day.zones.len()
        } else {
            1
        };
        (0..lists).try_for_each(|zone| self.write_list(zone))
    }

    /// Replaces the endpoint list of a zone's gateways by an atomic rename, as Envoy's file-based discovery requires.
    fn write_list(&self, gateway_zone: usize) -> anyhow::Result<()> {
        let mut out = String::from("cluster_name: \"farm\"\n");
        for (z, zone) in self.day.zones.iter().enumerate() {
            out += &format!("endpoints {{\n  locality {{ zone: \"{}\" }}\n", zone.name);
            let in_zone = self.list.iter().enumerate().filter(|(_, s)| s.zone == z);
            for (index, s) in in_zone.filter(|(_, s)| s.status != ListStatus::Gone) {
                let address = self
                    .gateway_links
                    .as_ref()
                    .map_or(s.address, |relay| relay.target_address(gateway_zone, index));
                out += &endpoint_entry(s, address, &zone.name);
            }
            out += "}\n";
        }
        let new = self.dir.join("endpoints.new");
        std::fs::write(&new, out)?;
        std::fs::rename(new, self.dir.join(self.list_file_name(gateway_zone)))?;
        Ok(())
    }

    /// Logs an action of the run itself for the audit.
    pub fn note(&mut self, what: &str, target: impl ToString) {
        self.event_log.append(&Entry::Note {
            t: monotonic_micros(),
            what: what.to_string(),
            target: target.to_string(),
        });
        self.event_log.flush();
    }

    /// Whether a gateway that exited had exit status 0. `None`: it is running, or the run has killed it. Logs the exit for the
    /// audit.
    pub fn gateway_exit(&mut self, gateway: usize) -> Option<bool> {
        let process = self.gateways[gateway].process.as_mut()?;
        if process.is_running() {
            return None;
        }
        let is_success = process.wait();
        self.gateways[gateway].process = None;
        self.note("gateway_ended", gateway);
        Some(is_success)
    }

    /// Stops the gateways by SIGTERM; returns whether all exited with status 0.
    pub fn stop_gateways(&mut self) -> bool {
        let running: Vec<&mut Process> = self
            .gateways
            .iter_mut()
            .filter_map(|g| g.process.as_mut())
            .collect();
        running.iter().for_each(|p| p.signal(Signal::TERM));
        running
            .into_iter()
            .filter_map(|p| (!p.wait()).then_some(()))
            .count()
            == 0
    }

    /// Starts the load of the day on all gateways, with more arguments of the `load` subcommand.
    pub fn start_load(&self, seconds: f64, extra_args: &[&str]) -> anyhow::Result<Process> {
        self.start_load_of_day(&self.day_file, seconds, extra_args)
    }

    /// Starts the load that a day's file describes, which may be another day than the fleet's, on all gateways.
    pub fn start_load_of_day(
        &self,
        day: &Path,
        seconds: f64,
        extra_args: &[&str],
    ) -> anyhow::Result<Process> {
        let gateways: Vec<String> = self
            .gateway_addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        let mut args = vec![
            "load".to_string(),
            "--day".to_string(),
            day.display().to_string(),
            "--gateways".to_string(),
            gateways.join(","),
            "--seconds".to_string(),
            seconds.to_string(),
            "--control".to_string(),
            "127.0.0.1:0".to_string(),
        ];
        args.extend(extra_args.iter().map(|s| s.to_string()));
        Process::start(&self.program, &args, &self.dir.join("load.log"))
    }
}
