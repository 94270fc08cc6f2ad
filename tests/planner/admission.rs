//! Which jobs are refused because no cluster could ever run them.

use bitternfold::core::scheduling::admission::{check_admission, AdmissionError};
use bitternfold::wire::*;

use crate::support::*;

#[test]
fn a_job_that_can_never_run_is_refused_with_the_reason() {
    let m = model(1);
    let teams = &m.config().teams;
    let mut j = job(1, 6, 8.0);
    assert_eq!(check_admission(&j, teams, m.machine_types()), Ok(()));
    j.team = "red".into();
    assert_eq!(
        check_admission(&j, teams, m.machine_types()),
        Ok(()),
        "an array only needs room for one task"
    );
    j.kind = JobKind::Service;
    assert_eq!(
        check_admission(&j, teams, m.machine_types()),
        Err(AdmissionError::ExceedsTeamLimit),
        "48 of 40 CPUs at once"
    );
    j.team = "green".into();
    assert_eq!(
        check_admission(&j, teams, m.machine_types()),
        Err(AdmissionError::UnknownTeam)
    );
    let mut big = job(2, 1, 8.0);
    big.memory_gb = 64.5;
    assert_eq!(
        check_admission(&big, teams, m.machine_types()),
        Err(AdmissionError::FitsNoMachineType)
    );
}
