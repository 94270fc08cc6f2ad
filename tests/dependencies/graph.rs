//! The dependency graph agrees with the plain model after any generated operations.

use proptest::prelude::*;

use crate::plain_model::{Operation, PlainModel};

fn any_operation() -> impl Strategy<Value = Operation> {
    let due_s = proptest::option::of(any::<u16>());
    let awaits = proptest::collection::vec(any::<usize>(), 0..4);
    prop_oneof![
        6 => (awaits, 0..4u8, due_s, any::<u8>()).prop_map(|(awaits, priority, due_s, run_s)| Operation::Add { awaits, priority, due_s, run_s }),
        3 => any::<usize>().prop_map(Operation::Done),
        1 => any::<usize>().prop_map(Operation::Cancel),
        1 => any::<usize>().prop_map(Operation::RequestCancellation),
        1 => Just(Operation::Elect),
        1 => any::<u32>().prop_map(Operation::ElectInOrder),
        2 => any::<usize>().prop_map(Operation::Resolve),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_graph_agrees_with_the_plain_model_after_any_operations(operations in proptest::collection::vec(any_operation(), 1..120)) {
        let mut plain = PlainModel::new();
        for operation in operations {
            plain.apply(operation);
            let all_resolved = plain.graph.unresolved().is_empty();
            plain.check(all_resolved)?;
        }
        while let Some(id) = plain.graph.unresolved().first().copied() {
            plain.resolve(id);
        }
        plain.check(true)?;
    }
}
