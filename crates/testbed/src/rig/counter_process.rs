//! The counter process of a fleet: the project's own counter, or the stand-in, into which faults can be injected.

use crate::common::control;
use crate::common::process::init_process;
use crate::common::process::{Process, Program};
use crate::rig::fleet::{any_port, reserve_port};
use anyhow::{bail, Context};
use chalkdeck_net::signals::Signals;
use chalkdeck_net::ReservedPort;
use clap::Args;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct OwnCounterArgs {
    /// Settings, protobuf text of chalkdeck.counter.v1.Settings
    pub config: PathBuf,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// A counter process that can be killed and restarted at its address.
pub struct CounterProcess {
    program: Program,
    dir: PathBuf,
    /// The project's own counter, in place of the stand-in.
    is_own_counter: bool,
    process: Option<Process>,
    listen: ReservedPort,
    control: ReservedPort,
}

impl CounterProcess {
    /// Starts the project's own counter, which persists its counts, or the stand-in.
    pub fn start(
        program: &Program,
        dir: &Path,
        is_own_counter: bool,
    ) -> anyhow::Result<CounterProcess> {
        let (program, dir) = (program.clone(), dir.to_path_buf());
        let mut counter = CounterProcess {
            program,
            dir,
            is_own_counter,
            process: None,
            listen: reserve_port(any_port())?,
            control: reserve_port(any_port())?,
        };
        counter.start_process()?;
        Ok(counter)
    }

    /// The counter's own address.
    pub fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Starts the process, always at the same addresses.
    pub fn start_process(&mut self) -> anyhow::Result<()> {
        let listen = self.listen.address().to_string();
        let control = self.control.address().to_string();
        let args = if self.is_own_counter {
            let config = self.dir.join("counter.txtpb");
            let text = format!("listen: \"{listen}\"\nadmin: \"{control}\"\nfolder: \"counter\"\n");
            std::fs::write(&config, text)?;
            vec!["own-counter".to_string(), config.display().to_string()]
        } else {
            ["counter", "--listen", &listen, "--control", &control]
                .map(String::from)
                .to_vec()
        };
        let process = Process::start(&self.program, &args, &self.dir.join("counter.log"))?;
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process by SIGKILL.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Injects a fault, given as a control command of the stand-in. The project's own counter supports only `silent`, which stalls
    /// and resumes it by signals; it keeps its counts.
    pub fn inject_fault(&self, query: &str) -> anyhow::Result<()> {
        if !self.is_own_counter {
            control::get(self.control.address(), &format!("/set?{query}"))?;
            return Ok(());
        }
        let signal = match query.split('&').next() {
            Some("silent=1") => Signal::STOP,
            Some("silent=0") => Signal::CONT,
            _ => bail!("the project's own counter does not support the fault '{query}'; run this day with the stand-in"),
        };
        self.process
            .as_ref()
            .context("the counter is down")?
            .signal(signal);
        Ok(())
    }
}

/// Runs the project's own counter until a signal stops it.
pub fn command(args: &OwnCounterArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let settings = chalkdeck_counter::settings::Settings::load(&args.config)?;
    chalkdeck_counter::server::run(&settings, &Signals::install()?)?;
    Ok(())
}
