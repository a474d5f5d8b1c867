//! The `load` command: reads its arguments, runs a load generator and writes its summary.

use crate::common::event_log::EventLog;
use crate::common::load_stats::LoadSummary;
use crate::common::process::init_process;
use crate::common::script;
use crate::load::library;
use crate::load::plain::{LoadConfig, LoadGenerator};
use anyhow::{bail, Context};
use chalkdeck_client::Idempotency;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::config::v1::class::{Effect, Group};
use chalkdeck_proto::chalkdeck::config::v1::{Class, Gateway};
use chalkdeck_proto::chalkdeck::lab::v1::{Load as LoadSpec, Mix};
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct LoadArgs {
    /// File of a day, which defines the load
    #[arg(long)]
    pub day: PathBuf,
    /// Addresses of gateways, or of other servers that take the calls
    #[arg(long, value_delimiter = ',', required = true)]
    pub gateways: Vec<SocketAddr>,
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Calls per second, instead of the day's rate
    #[arg(long)]
    pub rate: Option<f64>,
    /// Keep this many calls outstanding instead of sending at a rate
    #[arg(long)]
    pub outstanding: Option<usize>,
    #[arg(long, default_value_t = 2)]
    pub connections: usize,
    #[arg(long)]
    pub control: Option<SocketAddr>,
    #[arg(long)]
    pub log: Option<PathBuf>,
    /// File for the summary, as JSON; standard output by default
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Prefix of the ids of all calls
    #[arg(long, default_value = "c")]
    pub prefix: String,
    /// Send the calls through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Retries of a call, sent at once as a naive retry loop does
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print statistics every second
    #[arg(long)]
    pub lines: bool,
    /// Only connect, and hold the connections idle for the whole time
    #[arg(long)]
    pub idle: bool,
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Runs the command until its time is over or a signal asks it to stop.
pub fn command(args: LoadArgs) -> anyhow::Result<()> {
    init_process(args.with_parent);
    let signals = Signals::install()?;
    let day = script::read(&args.day)?;
    let mut spec = day.load.context("expected a load in the day")?;
    if let Some(rate) = args.rate {
        spec.rate = rate;
    }
    if spec.customers.is_empty() || spec.mix.is_empty() || spec.rate <= 0.0 {
        bail!(
            "{}: expected load.customers, load.mix and a rate above 0",
            args.day.display()
        );
    }
    if args.library {
        let config = library::LibraryLoadConfig {
            gateways: args.gateways,
            idempotency: idempotency_of_kinds(&day.gateway.unwrap_or_default(), &spec),
            spec,
            seconds: args.seconds,
            outstanding: args.outstanding,
            seed: day.seed,
            prefix: args.prefix,
        };
        println!("ready control=-");
        let stats = library::run(&config, &signals, EventLog::create(args.log.as_deref())?)?;
        return write_summary(args.out.as_deref(), &stats.summary());
    }
    let may_retry = may_retry(&day.gateway.unwrap_or_default(), &spec);
    let config = LoadConfig {
        gateways: args.gateways,
        spec,
        may_retry,
        seconds: args.seconds,
        seed: day.seed,
        outstanding: args.outstanding,
        connections: args.connections,
        prefix: args.prefix,
        control: args.control,
        print_stats: args.lines,
        naive_retries: args.naive,
    };
    let mut load = LoadGenerator::start(config, EventLog::create(args.log.as_deref())?)?;
    let control = load
        .control()
        .map_or(String::new(), |c| format!(" control={c}"));
    println!("ready{control}");
    if args.idle {
        load.hold_idle(&signals)?;
    } else {
        load.run(&signals)?;
    }
    write_summary(args.out.as_deref(), &load.stats.summary())
}

/// The class of the calls to a path.
fn class_of<'a>(gateway: &'a Gateway, path: &str) -> Option<&'a Class> {
    let route = gateway.routes.iter().find(|r| r.path == path)?;
    gateway.classes.iter().find(|c| c.name == route.class)
}

/// For each kind of call, whether clients retry it after a failure, as the user documentation tells them to: safe calls, and
/// keyed calls whose key is deduplicated by all servers. Other calls are retried only if they were refused.
pub fn may_retry(gateway: &Gateway, spec: &LoadSpec) -> Vec<bool> {
    let is_retryable = |mix: &Mix| {
        class_of(gateway, &mix.path).is_some_and(|class| match class.effect() {
            Effect::Safe => true,
            Effect::Keyed => mix.keyed && class.group() == Group::All,
            _ => false,
        })
    };
    spec.mix.iter().map(is_retryable).collect()
}

/// For each kind of call, the idempotency that its class allows. Calls to a path without a class are not retried.
fn idempotency_of_kinds(gateway: &Gateway, spec: &LoadSpec) -> Vec<Idempotency> {
    let idempotency = |m: &Mix| {
        class_of(gateway, &m.path).map_or(Idempotency::NonIdempotent, |c| {
            library::idempotency_of(c, m.keyed)
        })
    };
    spec.mix.iter().map(idempotency).collect()
}

fn write_summary(out: Option<&Path>, summary: &LoadSummary) -> anyhow::Result<()> {
    let text = serde_json::to_string(summary)?;
    match out {
        Some(path) => std::fs::write(path, text)?,
        None => println!("{text}"),
    }
    Ok(())
}
