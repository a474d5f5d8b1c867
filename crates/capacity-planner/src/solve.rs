//! The best that the sites left can do.

use crate::read::{Demand, Input, Site};
use good_lp::solvers::microlp::microlp;
use good_lp::{
    constraint, variable, variables, Expression, ResolutionError, Solution, SolverModel, Variable,
};
use serde::Serialize;

/// Quota comes first: a call beyond it never takes the place of one inside, whatever it is worth.
const INSIDE_FIRST: f64 = 1e3;

/// What becomes of one kind of demand.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Served {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Beyond the quotas.
    pub over: bool,
    /// Calls a second that are served and refused.
    pub served: f64,
    /// See `served`.
    pub refused: f64,
}

/// Load that the gateways of one site send to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Flow {
    /// Where the gateways stand.
    pub from: String,
    /// Where the servers stand.
    pub to: String,
    /// Units a second.
    pub units: f64,
}

/// How much of a site is in use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Use {
    /// The site.
    pub site: String,
    /// Part of its capacity.
    pub part: f64,
}

/// One case: some sites lost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Case {
    /// The sites that are lost; none: all are up.
    pub lost: Vec<String>,
    /// Worth a second that is served inside the quotas, and what there is of it.
    pub worth: f64,
    /// See `worth`.
    pub worth_offered: f64,
    /// By class and plan.
    pub served: Vec<Served>,
    /// Where load goes, between all sites that are up.
    pub flows: Vec<Flow>,
    /// By site that is up.
    pub in_use: Vec<Use>,
    /// The site in use the most; none: nothing is up.
    pub tightest: Option<String>,
    /// Units a second that are missing, or nothing inside the quotas would be refused.
    pub missing: f64,
}

/// Why there is no optimum.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no optimum with {lost} lost: {why}")]
pub struct NoOptimum {
    lost: String,
    why: String,
}

/// All cases: none lost, each site, each pair. A pair is left out where it is all there is.
pub fn cases(input: &Input) -> Result<Vec<Case>, NoOptimum> {
    let n = input.sites.len();
    let mut lost: Vec<Vec<usize>> = vec![Vec::new()];
    lost.extend((0..n).map(|i| vec![i]));
    if n > 2 {
        lost.extend((0..n).flat_map(|i| (i + 1..n).map(move |k| vec![i, k])));
    }
    lost.iter().map(|lost| case(input, lost)).collect()
}

/// One case.
pub fn case(input: &Input, lost: &[usize]) -> Result<Case, NoOptimum> {
    let names: Vec<String> = lost.iter().map(|&i| input.sites[i].name.clone()).collect();
    let up: Vec<&Site> = input
        .sites
        .iter()
        .enumerate()
        .filter(|(i, _)| !lost.contains(i))
        .map(|(_, s)| s)
        .collect();
    let gateways: f64 = up.iter().map(|s| s.gateways).sum();
    // With no gateway left nothing arrives that could be served.
    let arrives = |s: &Site| {
        if gateways > 0.0 {
            s.gateways / gateways
        } else {
            0.0
        }
    };
    let solved = solve(input, &up, &arrives).map_err(|e| NoOptimum {
        lost: if names.is_empty() {
            "nothing".into()
        } else {
            names.join(" and ")
        },
        why: e.to_string(),
    })?;
    let mut served = Vec::new();
    let (mut worth, mut offered, mut inside) = (0.0, 0.0, 0.0);
    for (k, d) in input.demand.iter().enumerate() {
        let got: f64 = solved
            .iter()
            .flatten()
            .map(|by| by[k])
            .sum::<f64>()
            .min(d.rate);
        if !d.over {
            worth += got * d.worth;
            offered += d.rate * d.worth;
            inside += d.rate * d.units;
        }
        let (class, plan) = (d.class.clone(), d.plan.clone());
        served.push(Served {
            class,
            plan,
            over: d.over,
            served: got,
            refused: d.rate - got,
        });
    }
    let units = |from: usize, to: usize| -> f64 {
        solved[from][to]
            .iter()
            .zip(&input.demand)
            .map(|(rate, d)| rate * d.units)
            .sum()
    };
    let pairs = (0..up.len()).flat_map(|from| (0..up.len()).map(move |to| (from, to)));
    let flow = |(from, to): (usize, usize)| Flow {
        from: up[from].name.clone(),
        to: up[to].name.clone(),
        units: units(from, to),
    };
    let in_use: Vec<Use> = (0..up.len())
        .map(|to| {
            let all: f64 = (0..up.len()).map(|from| units(from, to)).sum();
            Use {
                site: up[to].name.clone(),
                part: all / up[to].capacity,
            }
        })
        .collect();
    let tightest = in_use
        .iter()
        .max_by(|a, b| a.part.total_cmp(&b.part))
        .map(|u| u.site.clone());
    let capacity: f64 = up.iter().map(|s| s.capacity).sum();
    let flows = pairs.map(flow).filter(|f| f.units > 1e-9).collect();
    let missing = (inside - capacity).max(0.0);
    Ok(Case {
        lost: names,
        worth,
        worth_offered: offered,
        served,
        flows,
        in_use,
        tightest,
        missing,
    })
}

/// Rates by site of the gateway, site of the server and kind of demand.
fn solve(
    input: &Input,
    up: &[&Site],
    arrives: &dyn Fn(&Site) -> f64,
) -> Result<Vec<Vec<Vec<f64>>>, ResolutionError> {
    let (sites, kinds) = (up.len(), input.demand.len());
    let mut vars = variables!();
    let mut rate = Vec::new();
    for _ in 0..sites * sites * kinds {
        rate.push(vars.add(variable().min(0.0)));
    }
    let at =
        |from: usize, to: usize, k: usize| -> Variable { rate[(from * sites + to) * kinds + k] };
    let mut worth = Expression::from(0.0);
    for from in 0..sites {
        for to in 0..sites {
            for (k, d) in input.demand.iter().enumerate() {
                let far = if from == to {
                    1.0
                } else {
                    1.0 - input.crossing
                };
                worth += at(from, to, k) * (value(d) * far);
            }
        }
    }
    let mut model = vars.maximise(worth).using(microlp);
    for (from, site) in up.iter().enumerate() {
        for (k, d) in input.demand.iter().enumerate() {
            let all: Expression = (0..sites).map(|to| at(from, to, k)).sum();
            model = model.with(constraint!(all <= d.rate * arrives(site)));
        }
    }
    for (to, site) in up.iter().enumerate() {
        let pairs = (0..sites).flat_map(|from| (0..kinds).map(move |k| (from, k)));
        let all: Expression = pairs
            .map(|(from, k)| at(from, to, k) * input.demand[k].units)
            .sum();
        model = model.with(constraint!(all <= site.capacity));
    }
    if sites == 0 {
        return Ok(Vec::new());
    }
    let solution = model.solve()?;
    let of = |from, to| {
        (0..kinds)
            .map(|k| solution.value(at(from, to, k)).max(0.0))
            .collect()
    };
    Ok((0..sites)
        .map(|from| (0..sites).map(|to| of(from, to)).collect())
        .collect())
}

/// What is worth nothing is served, too, where there is room.
fn value(d: &Demand) -> f64 {
    let worth = d.worth.max(1e-6);
    if d.over {
        worth / INSIDE_FIRST
    } else {
        worth
    }
}
