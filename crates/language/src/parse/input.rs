use winnow::Stateful;
use winnow::stream::LocatingSlice;

use crate::parse::Progress;

/// Text with its position and the farthest failure so far.
pub(super) type Input<'a> = Stateful<LocatingSlice<&'a str>, Progress>;

pub(super) fn new(text: &str) -> Input<'_> {
    Stateful {
        input: LocatingSlice::new(text),
        state: Progress::default(),
    }
}
