//! The loss of a site at several loads, played in turns with the site core, with failover alone and with neither, by the
//! same calls, each against the optimum of the sites left.

use crate::audit::rules::{audit, Record};
use crate::audit::site_chart;
use crate::audit::sites::{capacity_of, work_of, Figures, SiteDay};
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
    /// A day with a trouble of a whole site
    pub day: PathBuf,
    /// Loads, as parts of the capacity of all sites
    #[arg(long = "use", value_delimiter = ',', default_values_t = [0.5, 0.75, 0.95])]
    pub uses: Vec<f64>,
    /// How often the ways take turns, each round with another seed
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// The site core alone
    #[arg(long)]
    pub only: bool,
    /// Draw the last run of the site core
    #[arg(long)]
    pub svg: Option<PathBuf>,
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
}

/// Calls a second that use that part of the capacity.
pub fn rate(day: &Day, part: f64) -> f64 {
    let mix = day.load.iter().flat_map(|l| &l.mix);
    let shares: f64 = mix.clone().map(|m| m.share).sum();
    let mean: f64 = mix.map(|m| m.share / shares * work_of(day, &m.path)).sum();
    let capacity: f64 = (0..day.zones.len())
        .map(|zone| capacity_of(day, zone))
        .sum();
    part * capacity / mean
}

/// Plays a day and takes it apart. Errors: it could not be played, or a rule was broken.
pub fn play(program: &Program, day: Day, dir: &Path) -> anyhow::Result<SiteDay> {
    day::remove_logs(dir)?;
    day::run(program.clone(), day, dir, &RunOptions::default())?;
    let record = Record::read(dir)?;
    let verdict = audit(&record);
    if let Some(breach) = verdict.breaches.first() {
        bail!("{}: rule {}: {}", dir.display(), breach.rule, breach.what);
    }
    SiteDay::of(&record)
}

/// Measures what the arguments name.
pub fn run(program: &Program, args: &SitesArgs) -> anyhow::Result<()> {
    let base = script::read(&args.day)?;
    let all = [
        ("site core", true, false),
        ("failover alone", true, true),
        ("neither", false, false),
    ];
    let ways = if args.only { &all[..1] } else { &all[..] };
    for &part in &args.uses {
        for round in 0..args.rounds {
            for (name, on, failover_only) in ways {
                let mut day = base.clone();
                day.seed += round;
                day.load.iter_mut().for_each(|l| l.rate = rate(&base, part));
                day.gateway.iter_mut().for_each(|g| {
                    g.sites = Some(Sites {
                        on: *on,
                        failover_only: *failover_only,
                        ..Sites::default()
                    })
                });
                let dir = args.dir.join(format!(
                    "{}-{:.0}-{round}",
                    name.replace(' ', "-"),
                    part * 100.0
                ));
                let played = play(program, day, &dir)?;
                print(
                    &format!("{:.0}% seed {} {name}", part * 100.0, base.seed + round),
                    &played.figures()?,
                );
                if let Some(svg) = args.svg.as_ref().filter(|_| *name == "site core") {
                    site_chart::svg(svg, &played)?;
                }
            }
        }
    }
    Ok(())
}

fn print(title: &str, f: &Figures) {
    println!("{title}");
    for (name, p) in &f.phases {
        println!(
            "  {name:<16} worth {:.3} of offered, {:.3} of the optimum; {} calls: {} served, {} refused, {} failed or lost; p99 {:.0} ms",
            p.worth, p.of_optimum, p.calls, p.served, p.refused, p.failed, p.p99_ms
        );
    }
    let or = |s: Option<f64>| s.map_or("not".to_string(), |s| format!("after {s:.1} s"));
    println!(
        "  inversions {:.1}%; noticed {}, steady {}, returned {}; overshoot {:.2}",
        100.0 * f.inversions,
        or(f.noticed),
        or(f.steady),
        or(f.returned),
        f.overshoot
    );
}
