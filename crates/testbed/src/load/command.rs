//! The load tool: which clients, at what rate, for how long.

use crate::common::event_log::EventLog;
use crate::common::load_stats::LoadSummary;
use crate::common::process::init_process;
use crate::common::script;
use crate::load::calls::{Load, Plan};
use crate::load::library;
use anyhow::{bail, Context};
use chalkdeck_client::Idempotency;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1::class::{Effect, Group};
use chalkdeck_proto::chalkdeck::config::v1::{Class, Gateway};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as Shape, Mix};
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct LoadArgs {
    /// A day: its load
    #[arg(long)]
    pub day: PathBuf,
    /// Gateways, or whatever takes the calls
    #[arg(long, value_delimiter = ',', required = true)]
    pub gateways: Vec<SocketAddr>,
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Calls a second, instead of the day's
    #[arg(long)]
    pub rate: Option<f64>,
    /// Keep so many calls out instead of a rate
    #[arg(long)]
    pub outstanding: Option<usize>,
    #[arg(long, default_value_t = 2)]
    pub connections: usize,
    #[arg(long)]
    pub control: Option<SocketAddr>,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// Where the figures go as JSON
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// The first part of every call's id
    #[arg(long, default_value = "c")]
    pub prefix: String,
    /// Calls go through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Tries beyond the first that a call makes at once, as a naive loop does
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print figures each second
    #[arg(long)]
    pub lines: bool,
    /// Only connect, and hold the connections for the whole time
    #[arg(long)]
    pub idle: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Runs it until its time is over.
pub fn command(args: LoadArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let day = script::read(&args.day)?;
    let mut shape = day.load.context("expected a load in the day")?;
    if let Some(rate) = args.rate {
        shape.rate = rate;
    }
    if shape.customers.is_empty() || shape.mix.is_empty() || shape.rate <= 0.0 {
        bail!(
            "{}: expected load.customers, load.mix and a rate above 0",
            args.day.display()
        );
    }
    if args.library {
        let library = library::Plan {
            gateways: args.gateways,
            repeats: repeats(&day.gateway.unwrap_or_default(), &shape),
            shape,
            seconds: args.seconds,
            outstanding: args.outstanding,
            seed: day.seed,
            prefix: args.prefix,
        };
        println!("ready control=-");
        let figures = library::run(&library, &signals, EventLog::create(args.log.as_deref())?)?;
        return write_summary(args.out.as_deref(), &figures.summary());
    }
    let may_repeat = may_repeat(&day.gateway.unwrap_or_default(), &shape);
    let plan = Plan {
        gateways: args.gateways,
        shape,
        may_repeat,
        seconds: args.seconds,
        seed: day.seed,
        outstanding: args.outstanding,
        connections: args.connections,
        prefix: args.prefix,
        control: args.control,
        lines: args.lines,
        naive: args.naive,
    };
    let mut load = Load::start(plan, EventLog::create(args.log.as_deref())?)?;
    let control = load
        .control()
        .map_or(String::new(), |c| format!(" control={c}"));
    println!("ready{control}");
    if args.idle {
        load.idle(&signals)?;
    } else {
        load.run(&signals)?;
    }
    write_summary(args.out.as_deref(), &load.figures.summary())
}

/// The class of calls to a path.
fn class_of<'a>(gateway: &'a Gateway, path: &str) -> Option<&'a Class> {
    let route = gateway.routes.iter().find(|r| r.path == path)?;
    gateway.classes.iter().find(|c| c.name == route.class)
}

/// Which kinds of calls clients repeat after a failure, by the users' pages: safe ones, and keyed ones whose key holds everywhere. The rest
/// they repeat only where it was refused.
pub fn may_repeat(gateway: &Gateway, shape: &Shape) -> Vec<bool> {
    let is_repeated = |mix: &Mix| {
        class_of(gateway, &mix.path).is_some_and(|class| match class.effect() {
            Effect::Safe => true,
            Effect::Keyed => mix.keyed && class.group() == Group::All,
            _ => false,
        })
    };
    shape.mix.iter().map(is_repeated).collect()
}

/// By the classes of the routes; a path without one is not repeated.
fn repeats(gateway: &Gateway, shape: &Shape) -> Vec<Idempotency> {
    let repeat = |m: &Mix| {
        class_of(gateway, &m.path).map_or(Idempotency::NonIdempotent, |c| {
            library::repeat_of(c, m.keyed)
        })
    };
    shape.mix.iter().map(repeat).collect()
}

fn write_summary(out: Option<&Path>, summary: &LoadSummary) -> anyhow::Result<()> {
    let text = serde_json::to_string(summary)?;
    match out {
        Some(path) => std::fs::write(path, text)?,
        None => println!("{text}"),
    }
    Ok(())
}
