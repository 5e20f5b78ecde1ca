//! A script made shorter while it still fails.

use crate::script::Script;

/// Drops steps as long as `fails` says of what is left that it still fails, and asks it `most` times at most. Later steps
/// go first: what comes after the failure has no part in it.
pub fn shrink(script: &Script, most: usize, mut fails: impl FnMut(&Script) -> bool) -> Script {
    let mut short = script.clone();
    let mut asked = 0;
    loop {
        let before = short.steps().len();
        for place in (0..before).rev() {
            if asked >= most {
                return short;
            }
            asked += 1;
            let less = short.without(place);
            if fails(&less) {
                short = less;
            }
        }
        if short.steps().len() == before {
            return short;
        }
    }
}
