//! Cases as a table.

use crate::solve::Case;

/// The title of a case.
pub fn title(case: &Case) -> String {
    match case.lost.len() {
        0 => "nothing lost".to_string(),
        _ => format!("{} lost", case.lost.join(" and ")),
    }
}

/// All cases, for a terminal.
pub fn table(cases: &[Case]) -> String {
    let mut out = String::new();
    for case in cases {
        let part = if case.worth_offered > 0.0 {
            100.0 * case.worth / case.worth_offered
        } else {
            100.0
        };
        out += &format!(
            "{}: {part:.1}% of the worth inside quotas is served",
            title(case)
        );
        let tightest = case
            .in_use
            .iter()
            .find(|u| Some(&u.site) == case.tightest.as_ref());
        if let Some(tightest) = tightest {
            out += &format!(
                "; tightest {} at {:.0}%",
                tightest.site,
                100.0 * tightest.part
            );
        }
        out += &match case.missing {
            m if m > 0.0 => format!("; {m:.1} units/s are missing\n"),
            _ => "; nothing is missing\n".to_string(),
        };
        for s in case.served.iter().filter(|s| s.refused > 1e-6) {
            let over = if s.over { " beyond quota" } else { "" };
            out += &format!(
                "  refused {:>9.1} of {:>9.1} calls/s  {} of {}{over}\n",
                s.refused,
                s.refused + s.served,
                s.class,
                s.plan
            );
        }
        for f in case.flows.iter().filter(|f| f.from != f.to) {
            out += &format!(
                "  sends   {:>9.1} units/s  {} to {}\n",
                f.units, f.from, f.to
            );
        }
    }
    out
}
