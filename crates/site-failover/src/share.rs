//! Where load goes: near first, then to the room that others have left, never past one's room while another has some.

/// A site as the sharing out sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Units a second that it bears from here; infinite where no bound is known.
    pub room: f64,
    /// Its size, by which load without known bounds is parted.
    pub weight: f64,
    /// The gateway's own.
    pub near: bool,
}

/// The part of `load` units a second that each site should bear. They sum to one; no site goes past its room unless all
/// do, and then all by the same factor. With no room anywhere, sizes part the load.
pub fn shares(load: f64, parts: &[Part]) -> Vec<f64> {
    let all: f64 = parts.iter().map(|p| p.room).sum();
    if all <= 0.0 {
        return by(parts, |p| p.weight);
    }
    if load <= 0.0 {
        // Nothing was offered yet: as the first of it would go.
        return shares(f64::MIN_POSITIVE, parts);
    }
    if load >= all {
        return by(parts, |p| p.room);
    }
    let mut given = vec![0.0; parts.len()];
    let mut rest = load;
    for (g, p) in given.iter_mut().zip(parts).filter(|(_, p)| p.near) {
        *g = rest.min(p.room);
        rest -= *g;
    }
    // By size, as often as it takes for what one cannot bear to find another; each round fills one at the least.
    for _ in 0..parts.len() {
        let open = |g: f64, p: &Part| g < p.room;
        let sizes: f64 = given
            .iter()
            .zip(parts)
            .filter(|(g, p)| open(**g, p))
            .map(|(_, p)| size(p))
            .sum();
        if rest <= load * 1e-12 || sizes <= 0.0 {
            break;
        }
        let each = rest / sizes;
        for (g, p) in given.iter_mut().zip(parts).filter(|(g, p)| open(**g, p)) {
            let more = (each * size(p)).min(p.room - *g);
            *g += more;
            rest -= more;
        }
    }
    let sum: f64 = given.iter().sum();
    given.iter().map(|g| g / sum).collect()
}

/// A site that has room has a size, too.
fn size(p: &Part) -> f64 {
    p.weight.max(1e-6)
}

fn by(parts: &[Part], of: impl Fn(&Part) -> f64) -> Vec<f64> {
    let endless = parts.iter().any(|p| of(p).is_infinite());
    let value = |p: &Part| match of(p) {
        v if !endless => v,
        v => f64::from(u8::from(v.is_infinite())) * size(p),
    };
    let sum: f64 = parts.iter().map(value).sum();
    let even = 1.0 / parts.len().max(1) as f64;
    parts
        .iter()
        .map(|p| if sum > 0.0 { value(p) / sum } else { even })
        .collect()
}
