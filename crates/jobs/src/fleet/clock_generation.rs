/// Number of a clock of an executor. Each incarnation begins a new one, on which earlier lease ends have no meaning.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClockGeneration(u32);

impl ClockGeneration {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
