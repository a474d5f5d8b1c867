//! `chalkdeck keeper`: a keeper of the fleet's shared state, its status, and an operator's word on a site to all gateways.

use crate::failure::Failure;
use chalkdeck_coordinator::ask::Asking;
use chalkdeck_coordinator::serve::Service;
use chalkdeck_coordinator::settings::Settings;
use chalkdeck_grpc_gateway::logs;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_testbed::parts::process::end_with_parent;
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use wire::command::What;
use wire::look_request::What as Look;

/// Keepers that are spoken to.
#[derive(Args)]
pub struct Keepers {
    /// Addresses of the keepers, as ip:port
    #[arg(long, value_delimiter = ',', required = true)]
    pub keepers: Vec<SocketAddr>,
    /// Seconds to wait for an answer
    #[arg(long, default_value_t = 10)]
    pub wait: u64,
}

impl Keepers {
    /// A caller of these keepers.
    pub fn asking(&self) -> Result<Asking, Failure> {
        Ok(Asking::new(self.keepers.clone())?)
    }
    /// How long an answer is waited for, in microseconds.
    pub fn patience(&self) -> u64 {
        self.wait * 1_000_000
    }
}

/// What is done.
#[derive(Subcommand)]
pub enum Command {
    /// Run a keeper
    Run {
        /// Settings, protobuf text of chalkdeck.keeper.v1.Settings
        config: PathBuf,
        /// All keepers start for the first time: their folders are empty, and were not lost
        #[arg(long)]
        first: bool,
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Check settings without starting
    Check {
        /// The settings
        config: PathBuf,
    },
    /// What the keepers hold: who leads, gateways' sessions, duties with their holders
    Status(Keepers),
    /// An operator's word on a site, to every gateway of the fleet, also those that are down now
    Word {
        /// The zone, as the server list names it
        site: String,
        /// drain, hold or let-back
        word: String,
        #[command(flatten)]
        to: Keepers,
    },
}

/// Runs it.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Run {
            config,
            first,
            with_parent,
        } => serve(config, *first, *with_parent),
        Command::Check { config } => {
            Settings::load(config)?;
            println!("{}: ok", config.display());
            Ok(())
        }
        Command::Status(keepers) => status(keepers),
        Command::Word { site, word, to } => {
            let told = wire::Word {
                site: site.clone(),
                word: word.clone(),
            };
            to.asking()?.tell(What::Word(told), to.patience())?;
            println!("{word} {site}: taken; it reaches each gateway with its session, or at its next start");
            Ok(())
        }
    }
}

fn serve(config: &Path, first: bool, with_parent: bool) -> Result<(), Failure> {
    let set = Settings::load(config)?;
    logs::start("info", false);
    if with_parent {
        end_with_parent();
    }
    let signals = Signals::take()?;
    let service = Service::start(&set, first)?;
    let admin = service.admin().map_or("-".to_string(), |a| a.to_string());
    println!("ready grpc={} admin={admin}", service.listen());
    Ok(service.run(&signals)?)
}

fn status(keepers: &Keepers) -> Result<(), Failure> {
    let mut asking = keepers.asking()?;
    let request = wire::LookRequest {
        what: Look::Status as i32,
        ..wire::LookRequest::default()
    };
    let mut best: Option<wire::LookAnswer> = None;
    for (place, address) in keepers.keepers.iter().enumerate() {
        let Some(answer) = asking.look_at(place, &request, 2_000_000)? else {
            println!("{address}  no answer");
            continue;
        };
        let state = if answer.majority {
            "agrees"
        } else {
            "NO MAJORITY: nothing is agreed on"
        };
        let leader = if answer.leader.is_empty() {
            "nobody"
        } else {
            &answer.leader
        };
        println!(
            "{address}  {state}, configuration {}, version {}, leader {leader}",
            answer.configuration, answer.version
        );
        if best
            .as_ref()
            .is_none_or(|b| (b.majority, b.version) < (answer.majority, answer.version))
        {
            best = Some(answer);
        }
    }
    if let Some(answer) = best {
        show(&answer);
    }
    Ok(())
}

fn show(answer: &wire::LookAnswer) {
    let name = |session: u64| {
        let of = answer.sessions.iter().find(|s| s.id == session);
        of.map_or("nobody".to_string(), |s| s.gateway.clone())
    };
    println!(
        "{} sessions, {} gateways cut off",
        answer.sessions.len(),
        answer.departed.len()
    );
    for s in &answer.sessions {
        println!(
            "  {:<20} {:<12} session {} applies {}",
            s.gateway, s.site, s.id, s.applied
        );
    }
    for d in &answer.departed {
        let ago = answer.time_ms.saturating_sub(d.ended_ms) / 1_000;
        println!(
            "  {:<20} cut off {ago} s ago, applied {}",
            d.gateway, d.applied
        );
    }
    for duty in &answer.duties {
        // Without a majority no holder's session can be renewed: it has stopped by itself, or is about to.
        let held = if answer.majority {
            name(duty.holder)
        } else {
            "not held for sure".to_string()
        };
        println!("duty {:<16} {held}, token {}", duty.name, duty.token);
    }
    answer
        .back
        .iter()
        .for_each(|b| println!("retired and called again: {b}"));
}
