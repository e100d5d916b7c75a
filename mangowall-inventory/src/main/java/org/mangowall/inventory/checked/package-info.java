/** Validated reading of TOML and JSON tables, with all faults of a file reported at once. */
package org.mangowall.inventory.checked;
