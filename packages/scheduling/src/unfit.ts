/**
 * Remembers which tasks fit nowhere while capacity only decreases, as in one
 * round. A backlog consists of many jobs of different sizes, so a task that is
 * at least as large as one that did not fit is not tried at all.
 */
import {fits, type Size} from '@lentildrift/queue';

export interface UnfitSizes {
  /** Notes that a task of this size fits on none of the hosts with the label. */
  add(size: Size, label: string | undefined): void;
  /** Whether what was noted shows that such a task fits nowhere. */
  covers(size: Size, label: string | undefined): boolean;
}

/**
 * Sizes that are compared for each label. They differ in which resource they
 * need most, so a few decide for nearly all tasks.
 */
const MAX_SIZES = 8;

export function createUnfitSizes(): UnfitSizes {
  /** Sizes that do not fit, none of them larger than another, by label. */
  const byLabel = new Map<string | undefined, Size[]>();

  function isCoveredBy(label: string | undefined, size: Size): boolean {
    return byLabel.get(label)?.some(known => fits(known, size)) ?? false;
  }

  function covers(size: Size, label: string | undefined): boolean {
    // What does not fit on any host does not fit on those with a label either.
    if (isCoveredBy(undefined, size)) return true;
    return label !== undefined && isCoveredBy(label, size);
  }

  return {
    add(size, label) {
      if (covers(size, label)) return;
      const others = (byLabel.get(label) ?? []).filter(
        known => !fits(size, known),
      );
      byLabel.set(label, [...others, size].slice(-MAX_SIZES));
    },
    covers,
  };
}
