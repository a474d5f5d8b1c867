//! Measures the loss of a site at several loads, each compared with the optimum for the remaining sites. Three variants get
//! the same calls: the site core, which fails over and rejects calls by worth; failover alone; and neither.

use crate::audit::rules::{audit, Record};
use crate::audit::site_loss::{mean_work_s, zone_capacity, SiteLossMetrics, SiteLossRun};
use crate::audit::site_loss_chart;
use crate::common::process::Program;
use crate::common::script;
use crate::rig::day::{self, RunOptions};
use anyhow::bail;
use chalkdeck_proto::chalkdeck::config::v1::Sites;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use clap::Args;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct SitesArgs {
    /// File of a day on which a whole site fails
    pub day: PathBuf,
    /// Loads, as shares of the capacity of all sites
    #[arg(long = "use", value_delimiter = ',', default_values_t = [0.5, 0.75, 0.95])]
    pub uses: Vec<f64>,
    /// Number of rounds; each round runs all variants in turn, with a seed of its own
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// Measure the site core only
    #[arg(long)]
    pub only: bool,
    /// File for a chart of the last run of the site core, as SVG
    #[arg(long)]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// The rate, in calls per second, that uses this share of the capacity of all sites.
pub fn rate_for_utilization(day: &Day, utilization: f64) -> f64 {
    let mix = day.load.iter().flat_map(|l| &l.mix);
    let total_share: f64 = mix.clone().map(|m| m.share).sum();
    let mean_work: f64 = mix
        .map(|m| m.share / total_share * mean_work_s(day, &m.path))
        .sum();
    let capacity: f64 = (0..day.zones.len())
        .map(|zone| zone_capacity(day, zone))
        .sum();
    utilization * capacity / mean_work
}

/// Plays a day and evaluates its run. Fails if it can't be played or the audit finds a breach.
pub fn play_and_evaluate(program: &Program, day: Day, dir: &Path) -> anyhow::Result<SiteLossRun> {
    day::remove_logs(dir)?;
    day::run(program.clone(), day, dir, &RunOptions::default())?;
    let record = Record::read(dir)?;
    let verdict = audit(&record);
    if let Some(breach) = verdict.breaches.first() {
        bail!(
            "{}: rule {}: {}",
            dir.display(),
            breach.rule,
            breach.description
        );
    }
    SiteLossRun::from_record(&record)
}

/// Measures all loads, rounds and variants, and prints their metrics.
pub fn run(program: &Program, args: &SitesArgs) -> anyhow::Result<()> {
    let base_day = script::read(&args.day)?;
    let all_variants = [
        ("site core", true, false),
        ("failover alone", true, true),
        ("neither", false, false),
    ];
    let variants = if args.only {
        &all_variants[..1]
    } else {
        &all_variants[..]
    };
    for &utilization in &args.uses {
        for round in 0..args.rounds {
            for (name, is_on, failover_only) in variants {
                let mut day = base_day.clone();
                day.seed += round;
                day.load
                    .iter_mut()
                    .for_each(|l| l.rate = rate_for_utilization(&base_day, utilization));
                day.gateway.iter_mut().for_each(|g| {
                    g.sites = Some(Sites {
                        on: *is_on,
                        failover_only: *failover_only,
                        ..Sites::default()
                    })
                });
                let dir = args.dir.join(format!(
                    "{}-{:.0}-{round}",
                    name.replace(' ', "-"),
                    utilization * 100.0
                ));
                let evaluated = play_and_evaluate(program, day, &dir)?;
                print_metrics(
                    &format!(
                        "{:.0}% seed {} {name}",
                        utilization * 100.0,
                        base_day.seed + round
                    ),
                    &evaluated.metrics()?,
                );
                if let Some(svg) = args.svg.as_ref().filter(|_| *name == "site core") {
                    site_loss_chart::write_chart(svg, &evaluated)?;
                }
            }
        }
    }
    Ok(())
}

fn print_metrics(title: &str, metrics: &SiteLossMetrics) {
    println!("{title}");
    for (name, p) in &metrics.phases {
        println!(
            "  {name:<16} worth {:.3} of offered, {:.3} of the optimum; {} calls: {} served, {} refused, {} failed or lost; p99 {:.0} ms",
            p.worth, p.of_optimum, p.calls, p.served, p.refused, p.failed, p.p99_ms
        );
    }
    let or_never = |s: Option<f64>| s.map_or("not".to_string(), |s| format!("after {s:.1} s"));
    println!(
        "  inversions {:.1}%; noticed {}, steady {}, returned {}; overshoot {:.2}",
        100.0 * metrics.inversions,
        or_never(metrics.noticed),
        or_never(metrics.steady),
        or_never(metrics.returned),
        metrics.overshoot
    );
}
