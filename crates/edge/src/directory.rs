//! The directory: which routers callers are told to use.

use std::cmp::Reverse;

use span_member::Router;

/// Fraction of the strongest router's processor from which a router is always
/// listed, as far as the answer has room.
const STRONG_ROUTER_PROCESSOR_FRACTION: f64 = 0.5;
/// Fraction of the fleet's processors that the listed routers must have
/// together. Requests used under a tenth of the processors of 82 routers; the
/// rest is for bursts.
const MIN_LISTED_PROCESSOR_FRACTION: f64 = 0.25;
/// Routers that are listed at least, if there are as many: a caller whose router
/// fails needs others.
const MIN_LISTED_ROUTERS: usize = 4;
/// Routers that are listed at most; callers read no more.
const MAX_LISTED_ROUTERS: usize = 64;

/// Chooses the routers that callers are told to use from those that accept
/// callers.
///
/// Some callers send all their requests to one address. A router with an eighth
/// of a core cannot carry the largest of these callers, but one with half a core
/// can. And the fewer routers send to the upstreams, the better each knows their
/// load. So the strongest routers come first; weaker ones follow only while too
/// few are listed or their fraction of the fleet's processors is too small. A
/// router that does not state its processor counts as the strongest.
pub fn choose_routers(usable: Vec<&Router>) -> Vec<&Router> {
    let strongest = usable.iter().map(|router| router.processor_millicores).max().unwrap_or(0);
    let millicores = |router: &Router| match router.processor_millicores {
        0 => f64::from(strongest.max(1)),
        stated => f64::from(stated),
    };
    let mut usable = usable;
    usable.sort_by_key(|router| Reverse(millicores(router) as u64));
    let min_strong = f64::from(strongest) * STRONG_ROUTER_PROCESSOR_FRACTION;
    let min_total =
        usable.iter().map(|router| millicores(router)).sum::<f64>() * MIN_LISTED_PROCESSOR_FRACTION;
    let mut chosen: Vec<&Router> = Vec::new();
    let mut chosen_millicores = 0.0;
    for router in usable {
        let is_needed = chosen.len() < MIN_LISTED_ROUTERS || chosen_millicores < min_total;
        if chosen.len() == MAX_LISTED_ROUTERS || !(is_needed || millicores(router) >= min_strong) {
            break;
        }
        chosen_millicores += millicores(router);
        chosen.push(router);
    }
    chosen
}
