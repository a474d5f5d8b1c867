//! A scripted day: gateways, counter, cells and load as processes, troubles by the clock, logs in one folder.

use crate::control;
use crate::counting::CounterPart;
use crate::log::{Line, Log};
use crate::process::{Process, Program};
use crate::report::Summary;
use anyhow::{bail, Context};
use chalkdeck_net::clock::{monotonic, Clock};
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1 as config;
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_proto::text;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The name of the day's message.
pub const MESSAGE: &str = "chalkdeck.lab.v1.Day";
/// How late the list tells that a zone is lost, and that one is back.
const LIST_LATE: u32 = 1_000;
/// How late a client may hear of an address after its process is up.
const UP: Duration = Duration::from_millis(20);

/// One thing to do at its time.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Counter(String),
    KillCounter,
    StartCounter,
    Cell(usize, String),
    /// A command to one server, by its number over all cells.
    Server(usize, String),
    KillCell(usize),
    StartCell(usize),
    ListCell(usize, bool),
    List(usize, Listed),
    KillGateway(usize),
    StartGateway(usize),
    Stall(usize, bool),
    Load(String),
}

/// How the list tells a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Healthy,
    Draining,
    Gone,
    /// Healthy, and started just now.
    Fresh,
}

/// An act with its time in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    pub at: u32,
    pub act: Act,
}

/// Reads a day. Errors name the line.
pub fn read(path: &Path) -> anyhow::Result<Day> {
    let source = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let day: Day = text::parse(MESSAGE, &source)
        .map_err(|e| anyhow::anyhow!("{}:{}: {}", path.display(), e.line, e.what))?;
    if day.gateway.is_none() || day.load.is_none() || day.farm.is_none() || day.zones.is_empty() {
        bail!("{}:1: expected gateway, load, farm and at least one of zones", path.display());
    }
    script(&day)?;
    Ok(day)
}

fn zone_of(day: &Day, name: &str) -> anyhow::Result<usize> {
    day.zones.iter().position(|z| z.name == name).with_context(|| format!("expected a zone, found '{name}'"))
}

fn number(what: &str, text: &str, below: usize) -> anyhow::Result<usize> {
    let n: usize = text.parse().with_context(|| format!("expected a {what}'s number, found '{text}'"))?;
    if n >= below {
        bail!("expected a {what}'s number below {below}, found {n}");
    }
    Ok(n)
}

/// All acts of a day in the order of their times. Errors: a trouble that is not known or has a wrong target.
pub fn script(day: &Day) -> anyhow::Result<Vec<Timed>> {
    let mut acts = Vec::new();
    for (i, trouble) in day.troubles.iter().enumerate() {
        let of = acts_of(day, trouble).with_context(|| format!("troubles[{i}] ({})", trouble.kind))?;
        acts.extend(of);
    }
    acts.sort_by_key(|a| a.at);
    Ok(acts)
}

/// The acts that a day of that length has time for. What sets a process right again is done at the end at the latest; the
/// load is told nothing any more by then.
fn within(acts: Vec<Timed>, end: u32) -> Vec<Timed> {
    let late_for_load = |a: &Timed| a.at + 100 >= end && matches!(a.act, Act::Load(_));
    let kept = acts.into_iter().filter(|a| !late_for_load(a));
    kept.map(|a| Timed { at: a.at.min(end), act: a.act }).collect()
}

fn acts_of(day: &Day, t: &Trouble) -> anyhow::Result<Vec<Timed>> {
    let servers: usize = day.zones.iter().map(|z| z.servers as usize).sum();
    let gateways = day.gateways as usize;
    let (begin, end) = (t.at_ms, t.at_ms + t.for_ms);
    let both = |first: Act, last: Act| vec![Timed { at: begin, act: first }, Timed { at: end, act: last }];
    // A part of the servers, spread over the zones, at least one.
    let some = || {
        let count = ((t.factor * servers as f64).round() as usize).clamp(1, servers);
        (0..count).map(move |k| k * servers / count).collect::<Vec<_>>()
    };
    let on_some = |on: &str, off: &str| {
        let each = |i: usize| both(Act::Server(i, on.to_string()), Act::Server(i, off.to_string()));
        some().into_iter().flat_map(each).collect::<Vec<_>>()
    };
    let counter = |on: &str, off: &str| both(Act::Counter(on.into()), Act::Counter(off.into()));
    let load = |on: String, off: &str| both(Act::Load(on), Act::Load(off.into()));
    Ok(match t.kind.as_str() {
        "counter_down" => counter("silent=1", "silent=0&empty"),
        "counter_kill" => both(Act::KillCounter, Act::StartCounter),
        "counter_refusing" => counter("refusing=1", "refusing=0"),
        "counter_slow" => counter(&format!("slow_ms={}", t.factor), "slow_ms=0"),
        "counter_empty" => vec![Timed { at: begin, act: Act::Counter("empty".into()) }],
        "zone_loss" => {
            let zone = zone_of(day, &t.target)?;
            let steps = [
                (begin, Act::KillCell(zone)),
                (begin + LIST_LATE.min(t.for_ms / 2), Act::ListCell(zone, false)),
                (end, Act::StartCell(zone)),
                (end + 1, Act::ListCell(zone, true)),
            ];
            steps.map(|(at, act)| Timed { at, act }).into()
        }
        "zone_cut" => {
            let zone = zone_of(day, &t.target)?;
            both(Act::Cell(zone, "silent=1".into()), Act::Cell(zone, "silent=0".into()))
        }
        "crash" => {
            let life = |i: usize| {
                [
                    (begin, Act::Server(i, "down=1".into())),
                    (begin + LIST_LATE.min(t.for_ms / 2), Act::List(i, Listed::Gone)),
                    (end, Act::Server(i, "down=0".into())),
                    (end + 1, Act::List(i, Listed::Fresh)),
                ]
                .map(|(at, act)| Timed { at, act })
            };
            some().into_iter().flat_map(life).collect()
        }
        "drain" => {
            let server = number("server", &t.target, servers)?;
            both(Act::List(server, Listed::Draining), Act::List(server, Listed::Healthy))
        }
        "silence" => {
            let server = number("server", &t.target, servers)?;
            both(Act::Server(server, "silent=1".into()), Act::Server(server, "silent=0".into()))
        }
        "fast_errors" => on_some(&format!("errors=0.5&errors_path={}", t.target), "errors=0&errors_path="),
        "class_fail" => on_some(&format!("errors=1&errors_path={}", t.target), "errors=0&errors_path="),
        "origin_slow" => {
            let slow =
                |zone| both(Act::Cell(zone, format!("slow={}", t.factor)), Act::Cell(zone, "slow=1".into()));
            (0..day.zones.len()).flat_map(slow).collect()
        }
        "tenant_burst" | "hot_caller" | "hot_key" => {
            let plan = if t.target.is_empty() { String::new() } else { format!("&burst_plan={}", t.target) };
            load(format!("burst_rate={}&burst_count=1{plan}", t.factor), "burst_rate=0")
        }
        "shift" => {
            let gateway = number("gateway", &t.target, gateways)?;
            load(format!("shift={gateway}"), "shift=-1")
        }
        "reconnect" => vec![Timed { at: begin, act: Act::Load("reconnect".into()) }],
        "retry_abuse" => load(format!("naive_retries={}", t.factor.max(1.0)), "naive_retries=0"),
        "balancer_stall" => {
            let gateway = number("gateway", &t.target, gateways)?;
            both(Act::Stall(gateway, true), Act::Stall(gateway, false))
        }
        "gateway_kill" => {
            let gateway = number("gateway", &t.target, gateways)?;
            both(Act::KillGateway(gateway), Act::StartGateway(gateway))
        }
        other => bail!("'{other}' is no kind that can be played here"),
    })
}

struct CellPart {
    process: Option<Process>,
    addresses: Vec<SocketAddr>,
    control: SocketAddr,
    lives: u32,
}

struct GatewayPart {
    process: Option<Process>,
    listen: SocketAddr,
    admin: SocketAddr,
}

struct OnList {
    address: SocketAddr,
    zone: usize,
    listed: Listed,
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
    cells: Vec<CellPart>,
    gateways: Vec<GatewayPart>,
    list: Vec<OnList>,
    notes: Log,
    fault: Option<String>,
}

/// A free port on loopback.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
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
        let day_text = text::print(MESSAGE, &day).context("expected the day to have a text form")?;
        std::fs::write(&day_file, day_text)?;
        let notes = Log::create(Some(&dir.join("run.jsonl")))?;
        let counter = CounterPart::start(&program, dir, day.own_counter)?;
        let (cells, gateways, list) = (Vec::new(), Vec::new(), Vec::new());
        let clock = Clock::start();
        let dir = dir.to_path_buf();
        let mut fleet =
            Fleet { program, day, dir, day_file, clock, counter, cells, gateways, list, notes, fault };
        for zone in 0..fleet.day.zones.len() {
            fleet.first_cell(zone)?;
        }
        fleet.write_list()?;
        for i in 0..fleet.day.gateways as usize {
            let address = if i == 0 { listen } else { any() };
            let process = fleet.gateway(i, address, any())?;
            let (listen, admin) = (process.address("grpc")?, process.address("admin")?);
            fleet.gateways.push(GatewayPart { process: Some(process), listen, admin });
        }
        Ok(fleet)
    }

    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|g| g.listen).collect()
    }
    pub fn admin(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].admin
    }
    pub fn gateway_process(&self, gateway: usize) -> Option<&Process> {
        self.gateways[gateway].process.as_ref()
    }
    pub fn servers(&self) -> Vec<SocketAddr> {
        self.list.iter().map(|s| s.address).collect()
    }

    fn first_cell(&mut self, zone: usize) -> anyhow::Result<()> {
        let count = self.day.zones[zone].servers as usize;
        let process = self.cell(zone, 0, &vec![any(); count], any())?;
        let (addresses, control) = (process.addresses("servers")?, process.address("control")?);
        for &address in &addresses {
            self.list.push(OnList { address, zone, listed: Listed::Healthy, started_ms: None });
        }
        self.cells.push(CellPart { process: Some(process), addresses, control, lives: 1 });
        Ok(())
    }

    fn cell(
        &self,
        zone: usize,
        life: u32,
        listen: &[SocketAddr],
        control: SocketAddr,
    ) -> anyhow::Result<Process> {
        let join = |a: &[SocketAddr]| a.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
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
        Process::start(&self.program, &args, &self.dir.join(format!("farm-{zone}.log")))
    }

    fn gateway(&self, number: usize, listen: SocketAddr, admin: SocketAddr) -> anyhow::Result<Process> {
        let mut settings = self.day.gateway.clone().unwrap_or_default();
        settings.listen = listen.to_string();
        settings.admin = admin.to_string();
        settings.fleet = self.day.gateways;
        settings.number = number as u32;
        settings.zone = self.day.zones[number % self.day.zones.len()].name.clone();
        let counter = settings.counter.get_or_insert_with(config::Counter::default);
        counter.address = self.counter.address().to_string();
        let endpoints = settings.endpoints.get_or_insert_with(config::Endpoints::default);
        endpoints.file = "endpoints.txtpb".to_string();
        let customers = settings.customers.get_or_insert_with(config::Customers::default);
        for group in self.day.load.iter().flat_map(|l| &l.customers) {
            for i in 0..group.count {
                customers.plan_of.insert(format!("{}-{i}", group.plan), group.plan.clone());
            }
        }
        let file = self.dir.join(format!("gateway-{number}.txtpb"));
        let text =
            text::print(chalkdeck_gateway::settings::MESSAGE, &settings).context("expected a text form")?;
        std::fs::write(&file, text)?;
        let mut args = vec!["serve".to_string(), file.display().to_string()];
        if let Some(fault) = &self.fault {
            args.extend(["--fault".to_string(), fault.clone()]);
        }
        Process::start(&self.program, &args, &self.dir.join(format!("gateway-{number}.log")))
    }

    /// Replaces the list's file in one step, as Envoy's own sources ask for.
    fn write_list(&self) -> anyhow::Result<()> {
        let mut out = String::from("cluster_name: \"farm\"\n");
        for (z, zone) in self.day.zones.iter().enumerate() {
            out += &format!("endpoints {{\n  locality {{ zone: \"{}\" }}\n", zone.name);
            for s in self.list.iter().filter(|s| s.zone == z && s.listed != Listed::Gone) {
                let health = if s.listed == Listed::Draining { "DRAINING" } else { "HEALTHY" };
                let started = s.started_ms.map_or(String::new(), |ms| {
                    format!("fields {{ key: \"started_ms\" value {{ number_value: {ms} }} }}")
                });
                out += &format!(
                    "  lb_endpoints {{\n    endpoint {{ address {{ socket_address {{ address: \"{}\" port_value: {} }} }} }}\n    \
                     health_status: {health}\n    metadata {{ filter_metadata {{ key: \"chalkdeck\" value {{\n      \
                     fields {{ key: \"cell\" value {{ string_value: \"{}\" }} }} {started}\n    }} }} }}\n  }}\n",
                    s.address.ip(),
                    s.address.port(),
                    zone.name
                );
            }
            out += "}\n";
        }
        let new = self.dir.join("endpoints.new");
        std::fs::write(&new, out)?;
        std::fs::rename(new, self.dir.join("endpoints.txtpb"))?;
        Ok(())
    }

    fn note(&mut self, what: &str, target: impl ToString) {
        self.notes.line(&Line::Note { t: monotonic(), what: what.to_string(), target: target.to_string() });
        self.notes.flush();
    }

    fn listed(&mut self, server: usize, listed: Listed) {
        let now_ms = self.clock.now() / 1_000;
        let entry = &mut self.list[server];
        if listed == Listed::Fresh {
            entry.started_ms = Some(now_ms);
        }
        entry.listed = if listed == Listed::Fresh { Listed::Healthy } else { listed };
        let what = if entry.listed == Listed::Healthy { "listed" } else { "unlisted" };
        let address = entry.address;
        self.note(what, address);
    }

    /// Carries out one act of the script.
    pub fn act(&mut self, act: &Act, load: Option<SocketAddr>) -> anyhow::Result<()> {
        self.note("act", format!("{act:?}"));
        match act {
            Act::Counter(query) => self.counter.fault(query)?,
            Act::KillCounter => self.counter.kill(),
            Act::StartCounter => self.counter.begin()?,
            Act::Cell(zone, query) => {
                drop(control::get(self.cells[*zone].control, &format!("/set?{query}"))?)
            }
            Act::Server(server, query) => {
                let zone = self.list[*server].zone;
                let address = self.list[*server].address;
                let place = self.cells[zone].addresses.iter().position(|a| *a == address).unwrap_or(0);
                control::get(self.cells[zone].control, &format!("/set?server={place}&{query}"))?;
            }
            Act::KillCell(zone) => self.cells[*zone].process = None,
            Act::StartCell(zone) => {
                let cell = &self.cells[*zone];
                let process = self.cell(*zone, cell.lives, &cell.addresses.clone(), cell.control)?;
                self.cells[*zone].process = Some(process);
                self.cells[*zone].lives += 1;
            }
            Act::ListCell(zone, listed) => {
                let to = if *listed { Listed::Fresh } else { Listed::Gone };
                for i in (0..self.list.len()).filter(|&i| self.list[i].zone == *zone).collect::<Vec<_>>() {
                    self.listed(i, to);
                }
                self.write_list()?;
            }
            Act::List(server, listed) => {
                self.listed(*server, *listed);
                self.write_list()?;
            }
            Act::KillGateway(i) => {
                self.note("gateway_killed", i);
                self.gateways[*i].process = None;
            }
            Act::StartGateway(i) => {
                let process = self.gateway(*i, self.gateways[*i].listen, self.gateways[*i].admin)?;
                self.gateways[*i].process = Some(process);
                self.note("gateway_started", i);
            }
            Act::Stall(i, stalled) => {
                self.note(if *stalled { "gateway_stalled" } else { "gateway_resumed" }, i);
                let signal = if *stalled { Signal::STOP } else { Signal::CONT };
                self.gateways[*i].process.iter().for_each(|p| p.signal(signal));
            }
            Act::Load(query) => {
                if query.contains("reconnect") {
                    self.note("clients_reconnect", "all");
                }
                let load = load.context("this load takes no commands")?;
                control::get(load, &format!("/set?{query}"))?;
            }
        }
        Ok(())
    }

    /// Stops the gateways by SIGTERM; whether all ended well.
    pub fn stop_gateways(&mut self) -> bool {
        let running: Vec<&mut Process> =
            self.gateways.iter_mut().filter_map(|g| g.process.as_mut()).collect();
        running.iter().for_each(|p| p.signal(Signal::TERM));
        running.into_iter().filter_map(|p| (!p.wait()).then_some(())).count() == 0
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

/// Who calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Clients {
    /// Each call is one try.
    #[default]
    Plain,
    /// So many more at once, whatever the answer.
    Naive(u32),
    /// The client library.
    Library,
}

/// How a day is played.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    /// A fault in the gateways' carrying code.
    pub fault: Option<String>,
    /// Print what happens.
    pub lines: bool,
    pub clients: Clients,
}

/// Plays a day and leaves its logs in `dir`. Returns what the load saw.
pub fn run(program: Program, day: Day, dir: &Path, ways: &Ways) -> anyhow::Result<Summary> {
    let acts = within(script(&day)?, day.seconds.saturating_mul(1_000));
    let signals = Signals::take()?;
    let seconds = f64::from(day.seconds);
    let mut fleet = Fleet::start(program, day, dir, any(), ways.fault.clone())?;
    let (log, out) = (dir.join("client.jsonl"), dir.join("summary.json"));
    let (log, out_text) = (log.display().to_string(), out.display().to_string());
    let mut more = vec!["--log", &log, "--out", &out_text];
    let tries;
    match ways.clients {
        Clients::Library => more.push("--library"),
        Clients::Naive(n) => {
            tries = n.to_string();
            more.extend(["--naive", &tries]);
        }
        Clients::Plain => {}
    }
    if ways.lines {
        more.push("--lines");
    }
    let mut load = fleet.load(seconds, &more)?;
    // The library's load takes no commands; days that need them say so when they come to it.
    let control = load.address("control").ok();
    load.echo();
    let begin = monotonic();
    for timed in acts {
        while monotonic() < begin + u64::from(timed.at) * 1_000 {
            if signals.stop() {
                bail!("stopped by a signal");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        if ways.lines {
            println!("# {:.1} s: {:?}", f64::from(timed.at) / 1e3, timed.act);
        }
        fleet.act(&timed.act, control).with_context(|| format!("{:?}", timed.act))?;
    }
    if !load.wait() {
        bail!("the load ended badly, see {}", dir.join("load.log").display());
    }
    fleet.note("load_ended", "all");
    if !fleet.stop_gateways() {
        bail!("a gateway ended badly, see the logs in {}", dir.display());
    }
    // The cells' last lines.
    std::thread::sleep(UP * 5);
    Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_outlasts_the_day_is_set_right_at_its_end() {
        let acts = vec![
            Timed { at: 100, act: Act::Load("shift=1".into()) },
            Timed { at: 9_950, act: Act::Load("shift=-1".into()) },
            Timed { at: 30_000, act: Act::Stall(0, false) },
        ];
        let kept = within(acts.clone(), 10_000);
        assert_eq!(kept, [acts[0].clone(), Timed { at: 10_000, act: Act::Stall(0, false) }]);
    }
}
