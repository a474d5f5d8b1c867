//! Runs the plan of a seed and evaluates the result.

use super::checks::{baseline_breach, leak_breaches, log_breaches, GatewayExit, IdleUsage};
use super::faults::{FaultKind, SoakAction, Step, EXIT_TIMEOUT_MS};
use super::generate::SoakPlan;
use crate::audit::rules::{audit, Record};
use crate::common::load_stats::LoadSummary;
use crate::common::process::{memory_kib, Process, Program};
use crate::common::script::{ScriptAction, DAY_MESSAGE};
use crate::rig::fleet::{any_port, Fleet};
use anyhow::{bail, Context};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use chalkdeck_proto::text;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often the run checks for due steps and exited gateways.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The baseline load, which runs without faults: calls a second, and length in seconds.
const BASELINE_RATE: &str = "60";
const BASELINE_SECONDS: f64 = 2.0;
/// Combined with the seed of the load with faults and the length of the baseline load's name, so that each load has a seed
/// of its own.
const BASELINE_SEED: u64 = 1 << 40;
/// Wait after a load before the gateways' resources and the servers' logs are read.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Idle connections of the `crowd` fault, for each gateway.
const IDLE_CONNECTIONS: &str = "200";
/// Content of a settings file that can't be parsed.
const BROKEN_SETTINGS: &str = "listen: {{{";

/// How to run a plan.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Starts the child processes.
    pub program: Program,
    /// Folder for logs; it is created if needed.
    pub dir: PathBuf,
    /// Time without load or faults after the load with faults.
    pub quiet: Duration,
    /// A fault to inject into the gateways' own code, which a check has to detect.
    pub fault: Option<String>,
}

/// Result of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOutcome {
    /// Number of calls of all loads.
    pub calls: usize,
    /// Descriptions of the checks that failed.
    pub breaches: Vec<String>,
}

/// Runs a plan and evaluates the result.
///
/// # Errors
/// The test harness fails: a process doesn't start, a control port doesn't respond, or a log can't be read.
pub fn run_plan(plan: &SoakPlan, settings: &RunSettings) -> anyhow::Result<SoakOutcome> {
    let mut run = SoakRun::start(plan, settings)?;
    run.measure_baseline()?;
    run.run_faults()?;
    std::thread::sleep(settings.quiet);
    run.check_recovery()?;
    run.stop_gateways()?;
    run.evaluate()
}

struct SoakRun<'a> {
    plan: &'a SoakPlan,
    dir: &'a Path,
    fleet: Fleet,
    /// Gateways that got SIGTERM and haven't exited yet.
    exiting: Vec<usize>,
    idle_clients: Option<Process>,
    /// The baseline load before the faults, and the gateways' idle resources after it.
    before: Option<(LoadSummary, Vec<IdleUsage>)>,
    breaches: Vec<String>,
}

impl<'a> SoakRun<'a> {
    fn start(plan: &'a SoakPlan, settings: &'a RunSettings) -> anyhow::Result<SoakRun<'a>> {
        let program = settings.program.clone();
        let fault = settings.fault.clone();
        let fleet = Fleet::start(program, plan.day.clone(), &settings.dir, any_port(), fault)?;
        Ok(SoakRun {
            plan,
            dir: &settings.dir,
            fleet,
            exiting: Vec::new(),
            idle_clients: None,
            before: None,
            breaches: Vec::new(),
        })
    }

    fn measure_baseline(&mut self) -> anyhow::Result<()> {
        let summary = self.run_baseline_load("before")?;
        self.before = Some((summary, self.idle_usage()?));
        Ok(())
    }

    /// Compares a second baseline load and the gateways' idle resources with those before the faults.
    fn check_recovery(&mut self) -> anyhow::Result<()> {
        let after = self.run_baseline_load("after")?;
        let usage_after = self.idle_usage()?;
        let (before, usage_before) = self.before.as_ref().context("expected a load before")?;
        self.breaches.extend(baseline_breach(before, &after));
        let servers = self.fleet.server_addresses().len();
        self.breaches
            .extend(leak_breaches(usage_before, &usage_after, servers));
        Ok(())
    }

    /// Runs a load without faults and returns its summary.
    fn run_baseline_load(&self, name: &str) -> anyhow::Result<LoadSummary> {
        let log = self.path(&format!("{name}.jsonl"));
        let out = self.path(&format!("{name}.json"));
        let args = [
            "--rate",
            BASELINE_RATE,
            "--prefix",
            name,
            "--log",
            &log,
            "--out",
            &out,
        ];
        let day = self.write_baseline_day(name)?;
        let mut load = self
            .fleet
            .start_load_of_day(&day, BASELINE_SECONDS, &args)?;
        if !load.wait() {
            bail!("the baseline load {name} failed");
        }
        std::thread::sleep(SETTLE_TIME);
        Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
    }

    /// Writes the day of a baseline load. It has a seed of its own, as idempotency keys are generated from the seed and must
    /// not repeat those of another load.
    fn write_baseline_day(&self, name: &str) -> anyhow::Result<PathBuf> {
        let day = Day {
            seed: self.plan.day.seed ^ name.len() as u64 ^ BASELINE_SEED,
            ..self.plan.day.clone()
        };
        let text =
            text::print(DAY_MESSAGE, &day).context("expected the day to have a text form")?;
        let file = self.dir.join(format!("{name}.txtpb"));
        std::fs::write(&file, text)?;
        Ok(file)
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    fn idle_usage(&self) -> anyhow::Result<Vec<IdleUsage>> {
        let gateways = 0..self.fleet.gateway_addresses().len();
        gateways
            .map(|gateway| self.gateway_idle_usage(gateway))
            .collect()
    }

    fn gateway_idle_usage(&self, gateway: usize) -> anyhow::Result<IdleUsage> {
        let process = self.fleet.gateway_process(gateway);
        let id = process
            .with_context(|| format!("gateway {gateway} is down"))?
            .id();
        Ok(IdleUsage {
            descriptors: std::fs::read_dir(format!("/proc/{id}/fd"))?.count(),
            memory_kib: memory_kib(id)?,
        })
    }

    /// Runs the load with all faults.
    fn run_faults(&mut self) -> anyhow::Result<()> {
        let log = self.path("client.jsonl");
        let out = self.path("summary.json");
        let seconds = f64::from(self.plan.day.seconds);
        let mut load = self
            .fleet
            .start_load(seconds, &["--log", &log, "--out", &out])?;
        let control = load.address("control").ok();
        let start = monotonic_micros();
        for step in sorted_steps(self.plan) {
            while monotonic_micros() < start + u64::from(step.at_ms) * 1_000 {
                self.poll_exits();
                std::thread::sleep(POLL_INTERVAL);
            }
            self.execute(&step.action, control)
                .with_context(|| format!("{:?}", step.action))?;
        }
        if !load.wait() {
            bail!("the load failed, see {}", self.path("load.log"));
        }
        self.fleet.note("load_ended", "all");
        Ok(())
    }

    fn execute(&mut self, action: &SoakAction, control: Option<SocketAddr>) -> anyhow::Result<()> {
        match action {
            SoakAction::Day(action) => self.fleet.apply(action, control)?,
            SoakAction::Signal(gateway, signal) => self.signal(*gateway, *signal),
            SoakAction::ExpectExit(gateway) => self.expect_exit(*gateway)?,
            SoakAction::BreakSettings(gateway) => self.break_settings(*gateway)?,
            SoakAction::RestoreSettings(gateway) => self.restore_settings(*gateway)?,
            SoakAction::CrowdArrives => {
                let args = ["--idle", "--connections", IDLE_CONNECTIONS, "--prefix", "i"];
                self.idle_clients = Some(
                    self.fleet
                        .start_load(f64::from(self.plan.day.seconds), &args)?,
                );
            }
            SoakAction::CrowdLeaves => self.idle_clients = None,
        }
        Ok(())
    }

    fn signal(&mut self, gateway: usize, signal: Signal) {
        self.fleet
            .note("signal", format!("{signal:?} gateway {gateway}"));
        // A gateway that has exited in the meantime gets no signal.
        let Some(process) = self.fleet.gateway_process(gateway) else {
            return;
        };
        process.signal(signal);
        if signal == Signal::TERM && !self.exiting.contains(&gateway) {
            self.exiting.push(gateway);
        }
    }

    /// Records the gateways that have exited since they got SIGTERM.
    fn poll_exits(&mut self) {
        for gateway in self.exiting.clone() {
            if let Some(is_success) = self.fleet.gateway_exit(gateway) {
                self.record_exit(
                    gateway,
                    if is_success {
                        GatewayExit::Clean
                    } else {
                        GatewayExit::Failed
                    },
                );
            }
        }
    }

    /// Records a breach if a gateway has not exited after SIGTERM, and kills it so that it can be restarted.
    fn expect_exit(&mut self, gateway: usize) -> anyhow::Result<()> {
        self.poll_exits();
        if self.exiting.contains(&gateway) {
            self.record_exit(gateway, GatewayExit::TimedOut);
            self.fleet
                .apply(&ScriptAction::KillGateway(gateway), None)?;
        }
        Ok(())
    }

    fn record_exit(&mut self, gateway: usize, exit: GatewayExit) {
        self.exiting.retain(|exiting| *exiting != gateway);
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

    /// Stops all gateways by SIGTERM and checks that they exit in time.
    fn stop_gateways(&mut self) -> anyhow::Result<()> {
        self.idle_clients = None;
        let gateways = 0..self.fleet.gateway_addresses().len();
        gateways
            .clone()
            .for_each(|gateway| self.signal(gateway, Signal::TERM));
        let deadline = monotonic_micros() + u64::from(EXIT_TIMEOUT_MS) * 1_000;
        while !self.exiting.is_empty() && monotonic_micros() < deadline {
            self.poll_exits();
            std::thread::sleep(POLL_INTERVAL);
        }
        gateways
            .into_iter()
            .try_for_each(|gateway| self.expect_exit(gateway))
    }

    fn evaluate(mut self) -> anyhow::Result<SoakOutcome> {
        // The servers may still be writing the last events to their logs.
        std::thread::sleep(SETTLE_TIME);
        let verdict = audit(&Record::read(self.dir)?);
        let rule_breaches = verdict.breaches.iter();
        self.breaches.extend(
            rule_breaches.map(|breach| format!("rule {}: {}", breach.rule, breach.description)),
        );
        self.breaches.extend(self.log_breaches()?);
        Ok(SoakOutcome {
            calls: verdict.calls,
            breaches: self.breaches,
        })
    }

    /// Breaches in the logs of the gateways, the product's counter and the coordinator.
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
            let product_log_prefixes = ["gateway-", "counter", "keeper"];
            if name.ends_with(".log")
                && product_log_prefixes
                    .iter()
                    .any(|prefix| name.starts_with(prefix))
            {
                let text = std::fs::read_to_string(&path)?;
                breaches.extend(log_breaches(&name, &text, reloads_fail));
            }
        }
        Ok(breaches)
    }
}

/// All steps of a plan, ordered by time. The generator ends every fault before the load ends.
fn sorted_steps(plan: &SoakPlan) -> Vec<Step> {
    let mut steps: Vec<Step> = plan
        .faults
        .iter()
        .flat_map(|fault| fault.steps.iter().cloned())
        .collect();
    steps.sort_by_key(|step| step.at_ms);
    steps
}
