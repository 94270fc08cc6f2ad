//! The dependency graph agrees with the plain model after any generated operations.

use proptest::prelude::*;

use crate::plain_model::{Operation, World};

fn any_operation() -> impl Strategy<Value = Operation> {
    let due = proptest::option::of(any::<u16>());
    let named = proptest::collection::vec(any::<usize>(), 0..4);
    prop_oneof![
        6 => (named, 0..4u8, due, any::<u8>()).prop_map(|(n, p, d, r)| Operation::Add(n, p, d, r)),
        3 => any::<usize>().prop_map(Operation::Done),
        1 => any::<usize>().prop_map(Operation::Cancel),
        1 => any::<usize>().prop_map(Operation::AskToCancel),
        1 => Just(Operation::Elect),
        2 => any::<usize>().prop_map(Operation::Resolve),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_graph_agrees_with_the_plain_rule(operations in proptest::collection::vec(any_operation(), 1..120)) {
        let mut world = World::new();
        for operation in operations {
            world.step(operation);
            let resolved = world.graph.unresolved().is_empty();
            world.check(resolved)?;
        }
        while let Some(id) = world.graph.unresolved().first().copied() {
            world.resolve(id);
        }
        world.check(true)?;
    }
}
