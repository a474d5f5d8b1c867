//! The counter of a fleet: the project's own, or the stand-in with its faults.

use crate::common::control;
use crate::common::process::init_process;
use crate::common::process::{Process, Program};
use crate::rig::fleet::{any, reserve};
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

/// A counter that can be ended and started again at its address.
pub struct CounterPart {
    program: Program,
    dir: PathBuf,
    own: bool,
    process: Option<Process>,
    listen: ReservedPort,
    control: ReservedPort,
}

impl CounterPart {
    /// Starts it; `own`: the one that keeps its counts.
    pub fn start(program: &Program, dir: &Path, own: bool) -> anyhow::Result<CounterPart> {
        let (program, dir) = (program.clone(), dir.to_path_buf());
        let mut part = CounterPart {
            program,
            dir,
            own,
            process: None,
            listen: reserve(any())?,
            control: reserve(any())?,
        };
        part.begin()?;
        Ok(part)
    }

    /// Where gateways find it.
    pub fn address(&self) -> SocketAddr {
        self.listen.address()
    }

    /// Starts it, again where it was before.
    pub fn begin(&mut self) -> anyhow::Result<()> {
        let listen = self.listen.address().to_string();
        let control = self.control.address().to_string();
        let args = if self.own {
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

    /// Ends it at once, without a word.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// A fault by the stand-in's commands. The project's own counter can only fall silent, and has its counts after that.
    pub fn fault(&self, query: &str) -> anyhow::Result<()> {
        if !self.own {
            control::get(self.control.address(), &format!("/set?{query}"))?;
            return Ok(());
        }
        let signal = match query.split('&').next() {
            Some("silent=1") => Signal::STOP,
            Some("silent=0") => Signal::CONT,
            _ => bail!("the own counter has no fault '{query}'; play this day with the stand-in"),
        };
        self.process
            .as_ref()
            .context("the counter is down")?
            .signal(signal);
        Ok(())
    }
}

/// Runs the counter itself until it is stopped.
pub fn command(args: &OwnCounterArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let settings = chalkdeck_counter::settings::Settings::load(&args.config)?;
    chalkdeck_counter::server::run(&settings, &Signals::install()?)?;
    Ok(())
}
