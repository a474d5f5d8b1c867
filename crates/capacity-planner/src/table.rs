//! Formats cases as a table for a terminal.

use crate::scenario::SiteLossCase;

/// Minimum rate of rejections that is listed, in calls per second; lower ones are rounding errors.
const MIN_REJECTED: f64 = 1e-6;

/// The title of a case, which names the lost sites.
pub fn title(case: &SiteLossCase) -> String {
    if case.lost_sites.is_empty() {
        return "nothing lost".to_string();
    }
    format!("{} lost", case.lost_sites.join(" and "))
}

/// Formats all cases, one after another.
pub fn render(cases: &[SiteLossCase]) -> String {
    let mut table = String::new();
    for case in cases {
        table += &summary(case);
        table += &rejections(case);
        table += &crossings(case);
    }
    table
}

fn summary(case: &SiteLossCase) -> String {
    let served_percent = if case.offered_value > 0.0 {
        100.0 * case.served_value / case.offered_value
    } else {
        100.0
    };
    let mut line = format!(
        "{}: {served_percent:.1}% of the worth inside quotas is served",
        title(case)
    );
    let most_utilized = case
        .utilization
        .iter()
        .find(|utilization| Some(&utilization.site) == case.most_utilized.as_ref());
    if let Some(most_utilized) = most_utilized {
        let percent = 100.0 * most_utilized.fraction;
        line += &format!("; tightest {} at {percent:.0}%", most_utilized.site);
    }
    if case.missing_capacity > 0.0 {
        line += &format!("; {:.1} units/s are missing\n", case.missing_capacity);
    } else {
        line += "; nothing is missing\n";
    }
    line
}

fn rejections(case: &SiteLossCase) -> String {
    let mut lines = String::new();
    for outcome in &case.outcomes {
        if outcome.rejected > MIN_REJECTED {
            let quota = if outcome.is_over_quota {
                " beyond quota"
            } else {
                ""
            };
            lines += &format!(
                "  refused {:>9.1} of {:>9.1} calls/s  {} of {}{quota}\n",
                outcome.rejected,
                outcome.rejected + outcome.served,
                outcome.class,
                outcome.plan
            );
        }
    }
    lines
}

fn crossings(case: &SiteLossCase) -> String {
    let mut lines = String::new();
    for flow in case.flows.iter().filter(|flow| flow.from != flow.to) {
        lines += &format!(
            "  sends   {:>9.1} units/s  {} to {}\n",
            flow.units, flow.from, flow.to
        );
    }
    lines
}
