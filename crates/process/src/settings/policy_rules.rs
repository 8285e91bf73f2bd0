use lagoon_core::policy::Policy;

use crate::settings::{Checked, Problems};

impl Checked for Policy {
    fn check(&self, problems: &mut Problems) {
        for problem in self.validate() {
            let message = format!("found {}, expected {}", problem.found, problem.expected);
            problems.add(&problem.key, message);
        }
    }
}
