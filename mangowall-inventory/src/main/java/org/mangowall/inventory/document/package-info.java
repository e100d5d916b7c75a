/** The inventory document: what operators write in TOML, and what the platform keeps as JSON. */
package org.mangowall.inventory.document;
