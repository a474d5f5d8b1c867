//! The processes of a day: gateways, counter, cells and load, and the acts that befall them.

use crate::common::event_log::{Entry, EventLog};
use crate::common::process::{Process, Program};
use crate::common::script::{ListStatus, DAY_MESSAGE};
use crate::rig::between::Between;
use crate::rig::counting::CounterPart;
use crate::rig::keeping::KeeperPart;
use anyhow::Context;
use chalkdeck_net::clock::{monotonic_micros, Clock};
use chalkdeck_net::ReservedPort;
use chalkdeck_proto::chalkdeck::config::v1 as config;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

mod acts;

/// The ports of parts are reserved for the whole run: a part that is down may otherwise lose one to another process of the machine, and
/// does not start again.
struct CellPart {
    process: Option<Process>,
    servers: Vec<ReservedPort>,
    control: ReservedPort,
    lives: u32,
}

struct GatewayPart {
    process: Option<Process>,
    listen: ReservedPort,
    admin: ReservedPort,
}

struct OnList {
    address: SocketAddr,
    zone: usize,
    listed: ListStatus,
    started_ms: Option<u64>,
}

/// The processes of a day.
pub struct Fleet {
    program: Program,
    day: Day,
    dir: PathBuf,
    day_file: PathBuf,
    clock: Clock,
    counter: CounterPart,
    keeper: Option<KeeperPart>,
    between: Option<Between>,
    before: Option<Between>,
    cells: Vec<CellPart>,
    gateways: Vec<GatewayPart>,
    list: Vec<OnList>,
    notes: EventLog,
    fault: Option<String>,
}

/// One entry of the list, reached at `at`.
fn endpoint(s: &OnList, at: SocketAddr, zone: &str) -> String {
    let health = if s.listed == ListStatus::Draining {
        "DRAINING"
    } else {
        "HEALTHY"
    };
    let started = s.started_ms.map_or(String::new(), |ms| {
        format!("fields {{ key: \"started_ms\" value {{ number_value: {ms} }} }}")
    });
    format!(
        "  lb_endpoints {{\n    endpoint {{ address {{ socket_address {{ address: \"{}\" port_value: {} }} }} }}\n    \
         health_status: {health}\n    metadata {{ filter_metadata {{ key: \"chalkdeck\" value {{\n      \
         fields {{ key: \"cell\" value {{ string_value: \"{zone}\" }} }} {started}\n      \
         fields {{ key: \"server\" value {{ string_value: \"{}\" }} }}\n    }} }} }}\n  }}\n",
        at.ip(),
        at.port(),
        s.address
    )
}

/// Any free port on loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reserves a port of a part.
pub(crate) fn reserve(address: SocketAddr) -> anyhow::Result<ReservedPort> {
    ReservedPort::reserve(address).with_context(|| format!("expected to reserve {address}"))
}

fn addresses_of(ports: &[ReservedPort]) -> Vec<SocketAddr> {
    ports.iter().map(ReservedPort::address).collect()
}

impl Fleet {
    /// Starts all parts but the load. `dir` is made, and must hold no earlier run. `listen`: of the first gateway.
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
        let notes = EventLog::create(Some(&dir.join("run.jsonl")))?;
        let counter = CounterPart::start(&program, dir, day.own_counter)?;
        let keeper = day
            .own_keeper
            .then(|| KeeperPart::start(&program, dir))
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
            keeper,
            between: None,
            before: None,
            cells,
            gateways,
            list,
            notes,
            fault,
        };
        for zone in 0..fleet.day.zones.len() {
            fleet.first_cell(zone)?;
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
            fleet.between = Some(Between::start(
                &fleet.program,
                &fleet.day,
                &fleet.dir,
                &servers,
                counter,
            )?);
        }
        fleet.write_lists()?;
        for i in 0..fleet.day.gateways as usize {
            let listen = reserve(if i == 0 { listen } else { any() })?;
            let admin = reserve(any())?;
            let process = fleet.gateway(i, listen.address(), admin.address())?;
            fleet.gateways.push(GatewayPart {
                process: Some(process),
                listen,
                admin,
            });
        }
        if fleet.day.links {
            let gateways = fleet.gateways();
            fleet.before = Some(Between::clients(
                &fleet.program,
                &fleet.day,
                &fleet.dir,
                &gateways,
            )?);
        }
        Ok(fleet)
    }

    /// Where the keeper is, if there is one.
    pub fn keeper(&self) -> Option<SocketAddr> {
        self.keeper.as_ref().map(KeeperPart::address)
    }
    /// Its gateways watch zones as sites.
    pub fn watches_sites(&self) -> bool {
        self.day
            .gateway
            .as_ref()
            .and_then(|g| g.sites.as_ref())
            .is_some_and(|s| s.on)
    }
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let at = |(i, g): (usize, &GatewayPart)| {
            let direct = g.listen.address();
            self.before.as_ref().map_or(direct, |b| b.target(0, i))
        };
        self.gateways.iter().enumerate().map(at).collect()
    }
    pub fn admin(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].admin.address()
    }
    pub fn gateway_process(&self, gateway: usize) -> Option<&Process> {
        self.gateways[gateway].process.as_ref()
    }
    pub fn servers(&self) -> Vec<SocketAddr> {
        self.list.iter().map(|s| s.address).collect()
    }

    /// Where gateways find the counter, links aside.
    pub fn counter(&self) -> SocketAddr {
        self.counter.address()
    }

    fn first_cell(&mut self, zone: usize) -> anyhow::Result<()> {
        let count = self.day.zones[zone].servers as usize;
        let servers = (0..count)
            .map(|_| reserve(any()))
            .collect::<anyhow::Result<Vec<ReservedPort>>>()?;
        let control = reserve(any())?;
        let addresses = addresses_of(&servers);
        let process = self.cell(zone, 0, &addresses, control.address())?;
        for address in addresses {
            self.list.push(OnList {
                address,
                zone,
                listed: ListStatus::Healthy,
                started_ms: None,
            });
        }
        self.cells.push(CellPart {
            process: Some(process),
            servers,
            control,
            lives: 1,
        });
        Ok(())
    }

    fn cell(
        &self,
        zone: usize,
        life: u32,
        listen: &[SocketAddr],
        control: SocketAddr,
    ) -> anyhow::Result<Process> {
        let join = |a: &[SocketAddr]| {
            a.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(",")
        };
        let log = self.dir.join(format!("farm-{zone}-{life}.jsonl"));
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
        // The servers of the first life have been up for long.
        if life == 0 {
            args.push("--warm".to_string());
        }
        Process::start(
            &self.program,
            &args,
            &self.dir.join(format!("farm-{zone}.log")),
        )
    }

    fn gateway(
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
        match &self.keeper {
            Some(keeper) => {
                let keepers = settings
                    .keepers
                    .get_or_insert_with(config::Keepers::default);
                keepers.addresses = vec![keeper.address().to_string()];
            }
            None => settings.keepers = None,
        }
        let counter = settings
            .counter
            .get_or_insert_with(config::Counter::default);
        let zone = number % self.day.zones.len();
        let counter_at = self
            .between
            .as_ref()
            .map_or(self.counter.address(), |b| b.counter(zone));
        counter.address = counter_at.to_string();
        let endpoints = settings
            .endpoints
            .get_or_insert_with(config::Endpoints::default);
        endpoints.file = self.list_name(zone);
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

    /// The list's file of the gateways in a zone: all have the same unless links stand between.
    fn list_name(&self, zone: usize) -> String {
        self.between
            .as_ref()
            .map_or("endpoints.txtpb".to_string(), |_| {
                format!("endpoints-{zone}.txtpb")
            })
    }

    fn write_lists(&self) -> anyhow::Result<()> {
        let readers = if self.between.is_some() {
            self.day.zones.len()
        } else {
            1
        };
        (0..readers).try_for_each(|zone| self.write_list(zone))
    }

    /// Replaces the list's file in one step, as Envoy's own sources ask for.
    fn write_list(&self, reader: usize) -> anyhow::Result<()> {
        let mut out = String::from("cluster_name: \"farm\"\n");
        for (z, zone) in self.day.zones.iter().enumerate() {
            out += &format!("endpoints {{\n  locality {{ zone: \"{}\" }}\n", zone.name);
            let in_zone = self.list.iter().enumerate().filter(|(_, s)| s.zone == z);
            for (place, s) in in_zone.filter(|(_, s)| s.listed != ListStatus::Gone) {
                let at = self
                    .between
                    .as_ref()
                    .map_or(s.address, |b| b.target(reader, place));
                out += &endpoint(s, at, &zone.name);
            }
            out += "}\n";
        }
        let new = self.dir.join("endpoints.new");
        std::fs::write(&new, out)?;
        std::fs::rename(new, self.dir.join(self.list_name(reader)))?;
        Ok(())
    }

    /// Writes down what the run itself did.
    pub fn note(&mut self, what: &str, target: impl ToString) {
        self.notes.append(&Entry::Note {
            t: monotonic_micros(),
            what: what.to_string(),
            target: target.to_string(),
        });
        self.notes.flush();
    }

    /// Whether a gateway that has ended did so with status 0; `None`: it runs, or was ended by the run. Noted for the audit.
    pub fn gateway_exit(&mut self, gateway: usize) -> Option<bool> {
        let process = self.gateways[gateway].process.as_mut()?;
        if process.is_running() {
            return None;
        }
        let well = process.wait();
        self.gateways[gateway].process = None;
        self.note("gateway_ended", gateway);
        Some(well)
    }

    /// Stops the gateways by SIGTERM; whether all ended well.
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

    /// Starts the load on all gateways.
    pub fn load(&self, seconds: f64, more: &[&str]) -> anyhow::Result<Process> {
        self.load_of(&self.day_file, seconds, more)
    }

    /// The same with the load of another day.
    pub fn load_of(&self, day: &Path, seconds: f64, more: &[&str]) -> anyhow::Result<Process> {
        let gateways: Vec<String> = self.gateways().iter().map(ToString::to_string).collect();
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
        args.extend(more.iter().map(|s| s.to_string()));
        Process::start(&self.program, &args, &self.dir.join("load.log"))
    }
}
