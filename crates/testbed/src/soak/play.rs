//! Plays what a seed drew, and judges it.

use super::checks::{calm, growth, log_breaches, Exit, Rest};
use super::draw::SoakPlan;
use super::faults::{Action, FaultKind, Step, EXIT_BOUND_MS};
use crate::audit::rules::{audit, Record};
use crate::parts::process::{memory_kib, Process, Program};
use crate::parts::report::Summary;
use crate::parts::script::{Act, MESSAGE};
use crate::rig::fleet::{any, Fleet};
use anyhow::{bail, Context};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often steps and ends of gateways are looked for.
const POLL: Duration = Duration::from_millis(2);
/// A calm load: its calls a second, and its length in seconds.
const CALM_RATE: &str = "60";
const CALM_SECONDS: f64 = 2.0;
/// What the seeds of calm loads differ by from the one with faults, together with the length of their names.
const CALM_SEED: u64 = 1 << 40;
/// From a calm load's end until what gateways hold is looked at.
const SETTLE: Duration = Duration::from_secs(1);
/// Idle clients of a crowd, for each gateway.
const CROWD_CONNECTIONS: &str = "200";
/// What a settings file holds that cannot be parsed.
const BROKEN_SETTINGS: &str = "listen: {{{";

/// How a plan is played.
#[derive(Clone, Debug)]
pub struct PlaySettings {
    /// Starts the parts.
    pub program: Program,
    /// Where logs go; made, and kept where a check fails.
    pub dir: PathBuf,
    /// The quiet after the last fault.
    pub quiet: Duration,
    /// A fault in the gateways' carrying code, which a check has to find.
    pub fault: Option<String>,
}

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Calls of all loads.
    pub calls: usize,
    /// What did not hold.
    pub breaches: Vec<String>,
}

/// Plays a plan and judges it.
///
/// # Errors
/// The rig itself fails: a part does not start, a control port does not answer, a log can't be read.
pub fn play(plan: &SoakPlan, settings: &PlaySettings) -> anyhow::Result<Outcome> {
    let mut player = Player::start(plan, settings)?;
    player.calm_before()?;
    player.faults()?;
    std::thread::sleep(settings.quiet);
    player.calm_after()?;
    player.stop()?;
    player.judge()
}

struct Player<'a> {
    plan: &'a SoakPlan,
    dir: &'a Path,
    fleet: Fleet,
    /// Gateways that were asked to end and run on.
    ending: Vec<usize>,
    crowd: Option<Process>,
    before: Option<(Summary, Vec<Rest>)>,
    breaches: Vec<String>,
}

impl<'a> Player<'a> {
    fn start(plan: &'a SoakPlan, settings: &'a PlaySettings) -> anyhow::Result<Player<'a>> {
        let program = settings.program.clone();
        let fault = settings.fault.clone();
        let fleet = Fleet::start(program, plan.day.clone(), &settings.dir, any(), fault)?;
        Ok(Player {
            plan,
            dir: &settings.dir,
            fleet,
            ending: Vec::new(),
            crowd: None,
            before: None,
            breaches: Vec::new(),
        })
    }

    fn calm_before(&mut self) -> anyhow::Result<()> {
        let summary = self.calm_load("before")?;
        self.before = Some((summary, self.rest()?));
        Ok(())
    }

    fn calm_after(&mut self) -> anyhow::Result<()> {
        let after = self.calm_load("after")?;
        let rest_after = self.rest()?;
        let (before, rest_before) = self.before.as_ref().context("expected a load before")?;
        self.breaches.extend(calm(before, &after));
        let servers = self.fleet.servers().len();
        self.breaches
            .extend(growth(rest_before, &rest_after, servers));
        Ok(())
    }

    /// A load without faults; returns what it saw.
    fn calm_load(&self, name: &str) -> anyhow::Result<Summary> {
        let log = self.path(&format!("{name}.jsonl"));
        let out = self.path(&format!("{name}.json"));
        let more = [
            "--rate", CALM_RATE, "--prefix", name, "--log", &log, "--out", &out,
        ];
        let day = self.write_calm_day(name)?;
        let mut load = self.fleet.load_of(&day, CALM_SECONDS, &more)?;
        if !load.wait() {
            bail!("the calm load {name} ended badly");
        }
        std::thread::sleep(SETTLE);
        Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
    }

    /// The day of a calm load: it draws keys of its own, as keys are drawn from the seed.
    fn write_calm_day(&self, name: &str) -> anyhow::Result<PathBuf> {
        let day = Day {
            seed: self.plan.day.seed ^ name.len() as u64 ^ CALM_SEED,
            ..self.plan.day.clone()
        };
        let text = text::print(MESSAGE, &day).context("expected the day to have a text form")?;
        let file = self.dir.join(format!("{name}.txtpb"));
        std::fs::write(&file, text)?;
        Ok(file)
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    fn rest(&self) -> anyhow::Result<Vec<Rest>> {
        let gateways = 0..self.fleet.gateways().len();
        gateways.map(|gateway| self.rest_of(gateway)).collect()
    }

    fn rest_of(&self, gateway: usize) -> anyhow::Result<Rest> {
        let process = self.fleet.gateway_process(gateway);
        let id = process
            .with_context(|| format!("gateway {gateway} is down"))?
            .id();
        Ok(Rest {
            descriptors: std::fs::read_dir(format!("/proc/{id}/fd"))?.count(),
            memory_kib: memory_kib(id)?,
        })
    }

    /// Plays the load with all faults.
    fn faults(&mut self) -> anyhow::Result<()> {
        let log = self.path("client.jsonl");
        let out = self.path("summary.json");
        let seconds = f64::from(self.plan.day.seconds);
        let mut load = self.fleet.load(seconds, &["--log", &log, "--out", &out])?;
        let control = load.address("control").ok();
        let begin = monotonic_micros();
        for step in steps_of(self.plan) {
            while monotonic_micros() < begin + u64::from(step.at_ms) * 1_000 {
                self.note_exits();
                std::thread::sleep(POLL);
            }
            self.act(&step.action, control)
                .with_context(|| format!("{:?}", step.action))?;
        }
        if !load.wait() {
            bail!("the load ended badly, see {}", self.path("load.log"));
        }
        self.fleet.note("load_ended", "all");
        Ok(())
    }

    fn act(&mut self, action: &Action, control: Option<SocketAddr>) -> anyhow::Result<()> {
        match action {
            Action::Day(act) => self.fleet.act(act, control)?,
            Action::Signal(gateway, signal) => self.signal(*gateway, *signal),
            Action::ExpectExit(gateway) => self.expect_exit(*gateway)?,
            Action::BreakSettings(gateway) => self.break_settings(*gateway)?,
            Action::RestoreSettings(gateway) => self.restore_settings(*gateway)?,
            Action::CrowdArrives => {
                let more = [
                    "--idle",
                    "--connections",
                    CROWD_CONNECTIONS,
                    "--prefix",
                    "i",
                ];
                self.crowd = Some(self.fleet.load(f64::from(self.plan.day.seconds), &more)?);
            }
            Action::CrowdLeaves => self.crowd = None,
        }
        Ok(())
    }

    fn signal(&mut self, gateway: usize, signal: Signal) {
        self.fleet
            .note("signal", format!("{signal:?} gateway {gateway}"));
        // One that ended meanwhile gets no second signal.
        let Some(process) = self.fleet.gateway_process(gateway) else {
            return;
        };
        process.signal(signal);
        if signal == Signal::TERM && !self.ending.contains(&gateway) {
            self.ending.push(gateway);
        }
    }

    /// Looks whether gateways that were asked to end have done so.
    fn note_exits(&mut self) {
        for gateway in self.ending.clone() {
            if let Some(well) = self.fleet.gateway_exit(gateway) {
                self.ended(gateway, if well { Exit::Well } else { Exit::Failed });
            }
        }
    }

    /// A gateway that runs on is a breach, and killed, so that it can be started again.
    fn expect_exit(&mut self, gateway: usize) -> anyhow::Result<()> {
        self.note_exits();
        if self.ending.contains(&gateway) {
            self.ended(gateway, Exit::Late);
            self.fleet.act(&Act::KillGateway(gateway), None)?;
        }
        Ok(())
    }

    fn ended(&mut self, gateway: usize, exit: Exit) {
        self.ending.retain(|ending| *ending != gateway);
        self.breaches.extend(exit.breach(gateway));
    }

    fn settings_file(&self, gateway: usize) -> PathBuf {
        self.dir.join(format!("gateway-{gateway}.txtpb"))
    }

    fn break_settings(&self, gateway: usize) -> anyhow::Result<()> {
        let file = self.settings_file(gateway);
        std::fs::rename(&file, file.with_extension("good"))?;
        Ok(std::fs::write(file, BROKEN_SETTINGS)?)
    }

    fn restore_settings(&self, gateway: usize) -> anyhow::Result<()> {
        let file = self.settings_file(gateway);
        Ok(std::fs::rename(file.with_extension("good"), file)?)
    }

    /// Asks all gateways to end.
    fn stop(&mut self) -> anyhow::Result<()> {
        self.crowd = None;
        let gateways = 0..self.fleet.gateways().len();
        gateways
            .clone()
            .for_each(|gateway| self.signal(gateway, Signal::TERM));
        let deadline = monotonic_micros() + u64::from(EXIT_BOUND_MS) * 1_000;
        while !self.ending.is_empty() && monotonic_micros() < deadline {
            self.note_exits();
            std::thread::sleep(POLL);
        }
        gateways
            .into_iter()
            .try_for_each(|gateway| self.expect_exit(gateway))
    }

    fn judge(mut self) -> anyhow::Result<Outcome> {
        // The servers' last lines.
        std::thread::sleep(SETTLE);
        let verdict = audit(&Record::read(self.dir)?);
        let rules = verdict.breaches.iter();
        self.breaches
            .extend(rules.map(|breach| format!("rule {}: {}", breach.rule, breach.what)));
        self.breaches.extend(self.log_breaches()?);
        Ok(Outcome {
            calls: verdict.calls,
            breaches: self.breaches,
        })
    }

    /// Of the gateways, the project's counter and the coordinator.
    fn log_breaches(&self) -> anyhow::Result<Vec<String>> {
        let mut faults = self.plan.faults.iter();
        let reloads_fail = faults.any(|fault| fault.kind == FaultKind::HupBroken);
        let mut breaches = Vec::new();
        for entry in std::fs::read_dir(self.dir)? {
            let path = entry?.path();
            let name = path
                .file_name()
                .map(|name| name.to_string_lossy().into_owned());
            let name = name.unwrap_or_default();
            let is_product = ["gateway-", "counter", "keeper"];
            if name.ends_with(".log") && is_product.iter().any(|part| name.starts_with(part)) {
                let text = std::fs::read_to_string(&path)?;
                breaches.extend(log_breaches(&name, &text, reloads_fail));
            }
        }
        Ok(breaches)
    }
}

/// All steps of a plan by their times; what sets a process right again is done before the load ends.
fn steps_of(plan: &SoakPlan) -> Vec<Step> {
    let mut steps: Vec<Step> = plan
        .faults
        .iter()
        .flat_map(|fault| fault.steps.iter().cloned())
        .collect();
    steps.sort_by_key(|step| step.at_ms);
    steps
}
