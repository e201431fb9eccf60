//! Which routers callers are sent to.

use std::cmp::Reverse;

use span_member::Router;

/// Routers with at least this part of the strongest one's processor are handed
/// out alike.
const STRONG_PART: f64 = 0.5;
/// Part of the whole fleet's processors that the routers handed out have at
/// least. Requests used under a tenth of them on the days that were played with
/// 82 routers; the rest is for bursts.
const FLEET_PART: f64 = 0.25;
/// Routers that are handed out at least, if there are as many: a caller whose
/// address fails needs others.
const LEAST_ROUTERS: usize = 4;
/// Routers in an answer of the directory at most; callers read no more.
const MOST_ROUTERS: usize = 64;

/// Chooses the routers that callers are sent to among those that take callers.
///
/// Some callers send all they have to one address. A router with an eighth of
/// a core cannot carry the largest of them, while one with half a core can;
/// and the fewer routers send to the upstreams, the more each knows of them.
/// So the strongest routers come first, and weaker ones as long as those
/// chosen are too few or have too small a part of the fleet's processors. A
/// router that does not tell its processor counts as the strongest.
pub fn choose(usable: Vec<&Router>) -> Vec<&Router> {
    let strongest = usable.iter().map(|router| router.processor_millicores).max().unwrap_or(0);
    let power = |router: &Router| match router.processor_millicores {
        0 => f64::from(strongest.max(1)),
        told => f64::from(told),
    };
    let mut usable = usable;
    usable.sort_by_key(|router| Reverse(power(router) as u64));
    let strong = f64::from(strongest) * STRONG_PART;
    let enough = usable.iter().map(|router| power(router)).sum::<f64>() * FLEET_PART;
    let mut chosen: Vec<&Router> = Vec::new();
    let mut chosen_power = 0.0;
    for router in usable {
        let needed = chosen.len() < LEAST_ROUTERS || chosen_power < enough;
        if chosen.len() == MOST_ROUTERS || !(needed || power(router) >= strong) {
            break;
        }
        chosen_power += power(router);
        chosen.push(router);
    }
    chosen
}
