use winnow::Stateful;
use winnow::stream::LocatingSlice;

use crate::parse::FarthestFailure;

/// Parser input: the remaining text, its position and the farthest failure so far.
pub(super) type Input<'a> = Stateful<LocatingSlice<&'a str>, FarthestFailure>;

pub(super) fn new(text: &str) -> Input<'_> {
    Stateful {
        input: LocatingSlice::new(text),
        state: FarthestFailure::default(),
    }
}
